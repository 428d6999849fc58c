/** Types of expected errors and of error catalogues. */
export type {CatalogueEntry, TypedError} from './definitions.js';
