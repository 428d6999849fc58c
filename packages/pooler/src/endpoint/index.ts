/** Interfaces to endpoints. */
export type {
	ConnectError, ConnectErrorKind, ConnectionError, ConnectionErrorKind, EndpointAnswer, EndpointCommand,
	EndpointConnection, EndpointConnector, EndpointStatus,
} from './definitions.js';
