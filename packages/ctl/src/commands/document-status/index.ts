/** `dogwoodctl document status`. */
export {documentStatus} from './core/document-status.js';
