/** Chooses the endpoint that serves a read. */
export {chooseReader, type ReaderRequest} from './choose-reader.js';
