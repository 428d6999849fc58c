/** `dogwoodctl document diff`. */
export {documentDiff} from './core/document-diff.js';
