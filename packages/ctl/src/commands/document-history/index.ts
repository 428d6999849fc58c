/** `dogwoodctl document history`. */
export {documentHistory} from './core/document-history.js';
