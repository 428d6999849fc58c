/** Which document versions the proxies have in force. */
export type {ProxyError, ProxyMember, ProxyView} from './definitions.js';
export {
	awaitInForce, type InForceState, formatProxyNames, readInForce,
} from './core/await-in-force.js';
export {PeerProxyView, type PeerProxyViewOptions} from './infra/peer-proxy-view.js';
