/** `dogwoodctl document check`. */
export {documentCheck} from './core/document-check.js';
