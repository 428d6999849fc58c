/** Choice of the endpoint for a statement. */
export {chooseReader, type ReaderRequest} from './choose-reader.js';
