/** Catalog of the configuration and the endpoints that the platform publishes. */
export {Catalog} from './catalog.js';
export {catalogParts} from './definitions.js';
export type {
	CatalogListener, CatalogPart, CatalogSource, Configuration, Consistency, Endpoint, Route, ServiceLimits,
} from './definitions.js';
export {
	ChangeFollower, type ChangeBatch, type ChangeFeed, type ChangeFeedError, type ChangeFollowerOptions,
} from './change-follower.js';
export {
	endpointWatchTiming, watchTiming, type WatchTiming,
} from './watch-timing.js';
