import {type JsonRow} from '../../history/index.js';
import {type LoggedEntry} from '../../checker/index.js';
import {type EndpointFaults, type EndpointHandle} from '../definitions.js';
import {requestJson} from './http-json.js';
import {parseLog, type LogDocument} from './log-format.js';

export type EndpointStats = {connections: number; maxConnectionsSeen: number};

export type EndpointRows = {bookings: JsonRow[]; payments: JsonRow[]};

const at = (endpoint: EndpointHandle, path: string): string => `http://${endpoint.controlAddress}${path}`;

export const setEndpointFaults = async (endpoint: EndpointHandle, faults: EndpointFaults): Promise<void> => {
	await requestJson('PUT', at(endpoint, '/faults'), faults);
};

export const readEndpointLog = async (endpoint: EndpointHandle): Promise<LoggedEntry[]> =>
	parseLog(await requestJson('GET', at(endpoint, '/log')) as LogDocument);

export const readEndpointRows = async (endpoint: EndpointHandle): Promise<EndpointRows> =>
	await requestJson('GET', at(endpoint, '/rows')) as EndpointRows;

export const readEndpointStats = async (endpoint: EndpointHandle): Promise<EndpointStats> =>
	await requestJson('GET', at(endpoint, '/stats')) as EndpointStats;
