/** Statements that run at hosts which hold connections to their service. */
export type {
	ClockReading, ForwardedStatement, ForwardReply, ForwardRequest, PeerConnector, PeerLink,
} from './definitions.js';
export {abandonSocket} from './abandon-socket.js';
export {ForwardService, type ForwardServiceOptions} from './forward-service.js';
export {HolderLink, type CallResult, type HolderLinkOptions} from './holder-link.js';
export {RemoteExecutor, type RemoteExecutorOptions} from './remote-executor.js';
export {listenForPeers, TcpPeerConnector} from './tcp-peer-link.js';
