/** Format of the files that `document show` prints and `document apply`, `check` and `diff` read. */
export {parseSectionFile, formatDocumentFile, formatSectionFile} from './domain/section-file.js';
