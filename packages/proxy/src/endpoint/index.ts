/** Connections to the instances of database groups: port and the adapter over Connect. */
export * from './definitions.js';
export {ConnectEndpointConnector} from './infra/connect-endpoint-connector.js';
export {AsyncQueue} from './infra/async-queue.js';
