import {reservedConnectionsPerSeat, seatsPerDatabase} from '../../ownership/index.js';
import {type DocumentMistake, type SectionName} from '../definitions.js';
import {formatPath, formatValue} from './mistake-messages.js';
import {type DatabaseLimits, type GoverningSections, type ServiceObjective} from './schema.js';

/** A mistake with its path in the section, from which the caller determines the line. */
export type CrossFieldMistake = {section: SectionName; path: PropertyKey[]; mistake: DocumentMistake};

const createMistake = (section: SectionName, path: PropertyKey[], details: {seen: unknown; expected: string; remedy: string}): CrossFieldMistake => ({
	section, path, mistake: {path: formatPath(section, path), ...details, seen: formatValue(details.seen)},
});

/** Connections that an instance must accept so that the equal share of each rank covers the slots and the reserved connections. */
const requiredConnections = (slots: number): number => seatsPerDatabase * (slots + reservedConnectionsPerSeat);

const checkDatabase = ([name, {slots, longSlots, connections}]: [string, DatabaseLimits]): CrossFieldMistake[] => {
	const mistakes: CrossFieldMistake[] = [];
	if (longSlots >= slots) {
		mistakes.push(createMistake('databases', [name, 'longSlots'], {
			seen: longSlots,
			expected: `less than slots (${slots})`,
			remedy: `Set longSlots to at most ${slots - 1}, so that short work always has a slot, or raise slots.`,
		}));
	}

	const minConnections = requiredConnections(slots);
	if (connections < minConnections) {
		mistakes.push(createMistake('databases', [name, 'connections'], {
			seen: connections,
			expected: `at least ${minConnections} for ${slots} slots: the equal share of each of the ${seatsPerDatabase} ranks must cover the slots and ${reservedConnectionsPerSeat} reserved connections`,
			remedy: `Raise connections to ${minConnections}, or lower slots.`,
		}));
	}

	return mistakes;
};

const checkOperations = ({operations, databases}: GoverningSections): CrossFieldMistake[] => {
	const mistakes: CrossFieldMistake[] = [];
	const {requestTimeoutMs, unconfirmedBoundMs, drainMs, detectionMs} = operations;
	if (unconfirmedBoundMs >= requestTimeoutMs) {
		mistakes.push(createMistake('operations', ['unconfirmedBoundMs'], {
			seen: unconfirmedBoundMs,
			expected: `less than requestTimeoutMs (${requestTimeoutMs})`,
			remedy: 'Lower unconfirmedBoundMs or raise requestTimeoutMs; otherwise writes time out with an unknown outcome before they are refused.',
		}));
	}

	if (drainMs < requestTimeoutMs) {
		mistakes.push(createMistake('operations', ['drainMs'], {
			seen: drainMs,
			expected: `at least requestTimeoutMs (${requestTimeoutMs})`,
			remedy: 'Raise drainMs or lower requestTimeoutMs; otherwise a shutdown interrupts requests in flight.',
		}));
	}

	const rttMs = Math.max(...Object.values(databases).map(database => database.rttMs));
	const slowestDatabase = Object.keys(databases).find(name => databases[name]!.rttMs === rttMs);
	if (detectionMs < 10 * rttMs) {
		mistakes.push(createMistake('operations', ['detectionMs'], {
			seen: detectionMs,
			expected: `at least 10 times databases.${slowestDatabase}.rttMs (${rttMs})`,
			remedy: `Raise detectionMs to ${Math.ceil(10 * rttMs)}, or correct rttMs; otherwise ordinary delays look like a failed primary.`,
		}));
	}

	return mistakes;
};

const checkObjective = (objective: ServiceObjective, index: number, {databases, operations, monitor}: GoverningSections): CrossFieldMistake[] => {
	const mistakes: CrossFieldMistake[] = [];
	const {name, kind, database, thresholdMs} = objective;
	const report = (field: string, details: {seen: unknown; expected: string; remedy: string}) => {
		mistakes.push(createMistake('monitor', ['objectives', index, field], details));
	};

	if (monitor.objectives.findIndex(other => other.name === name) < index) {
		report('name', {seen: name, expected: 'a name that no other objective has', remedy: 'Rename the objective.'});
	}

	if (database !== undefined && !Object.hasOwn(databases, database)) {
		report('database', {
			seen: database,
			expected: `one of the databases ${Object.keys(databases).slice(0, 20).join(', ')}`,
			remedy: 'Correct the name, or add the database to the section databases first.',
		});
	}

	if (kind === 'latency' && thresholdMs === undefined) {
		report('thresholdMs', {seen: undefined, expected: 'a threshold in ms for kind latency', remedy: 'Add thresholdMs.'});
	}

	if (kind === 'availability' && thresholdMs !== undefined) {
		report('thresholdMs', {seen: thresholdMs, expected: 'no threshold for kind availability', remedy: 'Remove thresholdMs or set kind to latency.'});
	}

	if (thresholdMs !== undefined && thresholdMs > operations.requestTimeoutMs) {
		report('thresholdMs', {
			seen: thresholdMs,
			expected: `at most operations.requestTimeoutMs (${operations.requestTimeoutMs})`,
			remedy: 'Lower thresholdMs; every slower request has already timed out.',
		});
	}

	return mistakes;
};

/** Descriptions of the rules that this file checks, for the reference page. */
export const crossFieldRules: readonly string[] = [
	'There is at least one database.',
	'`longSlots` is less than `slots`, so that short work always has a slot.',
	'A third of `connections`, less 2, is at least `slots`: each of the three ranks keeps one connection for its monitor stream and one for probes and control.',
	'`operations.unconfirmedBoundMs` is less than `operations.requestTimeoutMs`, so that writes are refused before they time out with an unknown outcome.',
	'`operations.drainMs` is at least `operations.requestTimeoutMs`, so that a shutdown interrupts no request in flight.',
	'`operations.detectionMs` is at least 10 times the largest `rttMs`, so that ordinary delays do not look like a failed primary.',
	'Names of objectives are unique, and `database` of an objective names a database of the document.',
	'An objective of kind `latency` has a `thresholdMs` of at most `operations.requestTimeoutMs`; one of kind `availability` has none.',
];

/** Finds mistakes that no single field shows: contradicting limits, duplicate names and references to unknown databases. */
export const checkAcrossFields = (sections: GoverningSections): CrossFieldMistake[] => {
	if (Object.keys(sections.databases).length === 0) {
		return [createMistake('databases', [], {
			seen: {}, expected: 'at least one database', remedy: 'Add the databases that the proxies serve.',
		})];
	}

	return [
		...Object.entries(sections.databases).flatMap(entry => checkDatabase(entry)),
		...checkOperations(sections),
		...sections.monitor.objectives.flatMap((objective, index) => checkObjective(objective, index, sections)),
	];
};
