/** `dogwoodctl document apply`. */
export {documentApply} from './core/document-apply.js';
