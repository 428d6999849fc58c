/** `dogwoodctl document reference`. */
export {documentReference} from './core/document-reference.js';
