/** `dogwoodctl document edit`. */
export {documentEdit} from './core/document-edit.js';
