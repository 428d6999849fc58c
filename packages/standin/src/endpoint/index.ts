/** Stand-in for one instance of a database group. */
export type {
	BookingRow, FaultValues, LogEntry, MemberStatus, PaymentRow, Position, RowChange, RunningEndpoint,
} from './definitions.js';
export {endpointSettings, type EndpointSettings, type EndpointSettingsInput} from './settings.js';
export {startEndpoint} from './start-endpoint.js';
