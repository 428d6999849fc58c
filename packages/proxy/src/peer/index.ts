/** Communication between proxies. */
export type {
	ForwardResult, RequestForwarder, PeerQueries,
} from './definitions.js';
export {PeerClients} from './core/peer-clients.js';
export {
	PeerServiceHandler, peekFirst, trackIteration, type PeerServiceOptions,
} from './core/peer-service.js';
