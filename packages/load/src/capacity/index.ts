/** Measured cost of each part against its size, as the base of capacity figures. */
import {type Measurement} from './definitions.js';
import {createDocumentMeasurements} from './document-measurements.js';
import {createFleetMeasurements} from './fleet-measurements.js';
import {createJoinMeasurements} from './join-measurements.js';
import {createMembershipMeasurements} from './membership-measurements.js';
import {createPartitionMeasurements} from './partition-measurements.js';
import {createUdpMeasurements} from './udp-measurements.js';

export type {Measurement, MeasurementResult, Point} from './definitions.js';
export {fitLine} from './least-squares.js';
export {formatTable, runMeasurement} from './report.js';

/** All measurements; other parts add theirs to this table. */
export const createMeasurements = (seed: number): Measurement[] => [
	...createMembershipMeasurements(seed),
	...createJoinMeasurements(seed),
	...createFleetMeasurements(seed),
	...createDocumentMeasurements(seed),
	...createPartitionMeasurements(seed),
	...createUdpMeasurements(seed),
];
