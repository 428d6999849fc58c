/** `dogwoodctl document init`. */
export {documentInit} from './core/document-init.js';
