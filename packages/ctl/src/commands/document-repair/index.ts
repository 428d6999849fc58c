/** `dogwoodctl document repair`. */
export {documentRepair} from './core/document-repair.js';
