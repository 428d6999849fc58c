import {reservedConnectionsPerSeat, seatsPerDatabase} from '../../ownership/index.js';
import {type DocumentMistake, type SectionName} from '../definitions.js';
import {pathText, seenText} from './mistakes.js';
import {type DatabaseLimits, type GoverningSections, type ServiceObjective} from './schema.js';

/** A mistake with its place, for the caller to add the line. */
export type CrossMistake = {section: SectionName; at: PropertyKey[]; mistake: DocumentMistake};

const mistake = (section: SectionName, at: PropertyKey[], facts: {seen: unknown; expected: string; remedy: string}): CrossMistake => ({
	section, at, mistake: {path: pathText(section, at), ...facts, seen: seenText(facts.seen)},
});

/** Connections with which the share of one rank, less what is reserved, can fill the slots. */
const connectionsNeeded = (slots: number): number => seatsPerDatabase * (slots + reservedConnectionsPerSeat);

const checkDatabase = ([name, {slots, longSlots, connections}]: [string, DatabaseLimits]): CrossMistake[] => {
	const found: CrossMistake[] = [];
	if (longSlots >= slots) {
		found.push(mistake('databases', [name, 'longSlots'], {
			seen: longSlots,
			expected: `less than slots (${slots})`,
			remedy: `Set longSlots to at most ${slots - 1}, so that short work always has a slot, or raise slots.`,
		}));
	}

	const needed = connectionsNeeded(slots);
	if (connections < needed) {
		found.push(mistake('databases', [name, 'connections'], {
			seen: connections,
			expected: `at least ${needed} for ${slots} slots: each of the ${seatsPerDatabase} ranks gets an equal share, which less ${reservedConnectionsPerSeat} must hold the slots`,
			remedy: `Raise connections to ${needed}, or lower slots.`,
		}));
	}

	return found;
};

const checkOperations = ({operations, databases}: GoverningSections): CrossMistake[] => {
	const found: CrossMistake[] = [];
	const {requestTimeoutMs, unconfirmedBoundMs, drainMs, detectionMs} = operations;
	if (unconfirmedBoundMs >= requestTimeoutMs) {
		found.push(mistake('operations', ['unconfirmedBoundMs'], {
			seen: unconfirmedBoundMs,
			expected: `less than requestTimeoutMs (${requestTimeoutMs})`,
			remedy: 'Lower unconfirmedBoundMs or raise requestTimeoutMs; otherwise writes time out with an unknown outcome before they are refused.',
		}));
	}

	if (drainMs < requestTimeoutMs) {
		found.push(mistake('operations', ['drainMs'], {
			seen: drainMs,
			expected: `at least requestTimeoutMs (${requestTimeoutMs})`,
			remedy: 'Raise drainMs or lower requestTimeoutMs; otherwise a shutdown interrupts requests in flight.',
		}));
	}

	const rttMs = Math.max(...Object.values(databases).map(database => database.rttMs));
	const slowest = Object.keys(databases).find(name => databases[name]!.rttMs === rttMs);
	if (detectionMs < 10 * rttMs) {
		found.push(mistake('operations', ['detectionMs'], {
			seen: detectionMs,
			expected: `at least 10 times databases.${slowest}.rttMs (${rttMs})`,
			remedy: `Raise detectionMs to ${Math.ceil(10 * rttMs)}, or correct rttMs; otherwise ordinary delays look like a failed primary.`,
		}));
	}

	return found;
};

const checkObjective = (objective: ServiceObjective, index: number, {databases, operations, monitor}: GoverningSections): CrossMistake[] => {
	const found: CrossMistake[] = [];
	const {name, kind, database, thresholdMs} = objective;
	const report = (field: string, facts: {seen: unknown; expected: string; remedy: string}) => {
		found.push(mistake('monitor', ['objectives', index, field], facts));
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

	return found;
};

/** The rules below in words, for the reference page. */
export const crossCheckRules: readonly string[] = [
	'There is at least one database.',
	'`longSlots` is less than `slots`, so that short work always has a slot.',
	'A third of `connections`, less 2, is at least `slots`: each of the three ranks keeps one connection for its monitor stream and one for probes and control.',
	'`operations.unconfirmedBoundMs` is less than `operations.requestTimeoutMs`, so that writes are refused before they time out with an unknown outcome.',
	'`operations.drainMs` is at least `operations.requestTimeoutMs`, so that a shutdown interrupts no request in flight.',
	'`operations.detectionMs` is at least 10 times the largest `rttMs`, so that ordinary delays do not look like a failed primary.',
	'Names of objectives are unique, and `database` of an objective names a database of the document.',
	'An objective of kind `latency` has a `thresholdMs` of at most `operations.requestTimeoutMs`; one of kind `availability` has none.',
];

/** Limits that cannot hold together, and references to things that do not exist. */
export const crossCheck = (sections: GoverningSections): CrossMistake[] => {
	if (Object.keys(sections.databases).length === 0) {
		return [mistake('databases', [], {
			seen: {}, expected: 'at least one database', remedy: 'Add the databases that the proxies serve.',
		})];
	}

	return [
		...Object.entries(sections.databases).flatMap(entry => checkDatabase(entry)),
		...checkOperations(sections),
		...sections.monitor.objectives.flatMap((objective, index) => checkObjective(objective, index, sections)),
	];
};
