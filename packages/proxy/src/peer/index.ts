/** Communication between proxies. */
export type {
	ForwardResult, PeerLinks, PeerQueries,
} from './definitions.js';
export {PeerClients} from './core/peer-clients.js';
export {
	PeerServiceHandler, takeFirst, trackIteration, type PeerServiceOptions,
} from './core/peer-service.js';
