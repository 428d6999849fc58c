/** `dogwoodctl document show`. */
export {documentShow} from './core/document-show.js';
