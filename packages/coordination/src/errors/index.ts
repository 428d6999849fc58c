/** Shapes of expected failures. */
export type {CatalogueEntry, TypedError} from './definitions.js';
