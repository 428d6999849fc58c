/** Connections to the instances of database groups: the port and its adapter for Connect. */
export * from './definitions.js';
export {ConnectEndpointConnector} from './infra/connect-endpoint-connector.js';
export {AsyncQueue} from './infra/async-queue.js';
