/** Forwards statements to hosts that hold connections to the service, and runs statements that other hosts forward. */
export type {
	ClockReading, ForwardedStatement, ForwardReply, ForwardRequest, PeerConnector, PeerLink,
} from './definitions.js';
export {FallbackExecutor, type FallbackExecutorOptions, type LocalReach} from './fallback-executor.js';
export {resetSocket} from './reset-socket.js';
export {ForwardService, type ForwardServiceOptions} from './forward-service.js';
export {HolderLink, type CallResult, type HolderLinkOptions} from './holder-link.js';
export {parseReply, parseRequest} from './peer-messages.js';
export {RemoteExecutor, type RemoteExecutorOptions} from './remote-executor.js';
export {listenForPeers, TcpPeerConnector} from './tcp-peer-link.js';
