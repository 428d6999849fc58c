/** Files that `show` writes and `apply` and `check` read. */
export {readSectionFile, writeDocumentFile, writeSectionFile} from './domain/section-file.js';
