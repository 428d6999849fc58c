/** Configuration and endpoints as the platform publishes them. */
export {Catalog} from './catalog.js';
export {catalogParts} from './definitions.js';
export type {
	CatalogListener, CatalogPart, CatalogSource, Configuration, Consistency, Endpoint, Route, ServiceLimits,
} from './definitions.js';
export {watchWaitMs} from './watch-wait.js';
