/** Files that `show` writes and `apply` and `check` read. */
export {parseSectionFile, formatDocumentFile, formatSectionFile} from './domain/section-file.js';
