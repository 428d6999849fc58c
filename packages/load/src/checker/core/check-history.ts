import {type HistoryEntry} from '../../history/index.js';
import {
	type CheckOptions, type CheckReport, type FinalGroupState, type HistoryViolation, type HistoryViolationKind, type HistoryCheck,
} from '../definitions.js';
import {
	countCodes, countUnknownOutcomes, findConnectionsOverCap, findCutRequests, findMixedAnswers, calculateReplicaReadShare,
} from '../domain/answer-checks.js';
import {findStaleSessionReads} from '../domain/session-checks.js';
import {
	findAlteredWrites, findDoubledWrites, findFalseNotRun, findLostWrites, isAcknowledged,
} from '../domain/write-checks.js';
import {measureWriteGap} from '../domain/write-gap.js';

const checks: HistoryCheck[] = [
	findLostWrites, findDoubledWrites, findAlteredWrites, findStaleSessionReads, findFalseNotRun,
];

const filterByDatabase = (history: readonly HistoryEntry[], database: string): HistoryEntry[] =>
	history.filter(entry => entry.database === database);

const checkGroup = (options: CheckOptions, finalState: FinalGroupState): HistoryViolation[] => {
	const history = filterByDatabase(options.history, finalState.database);
	return [...checks.flatMap(check => check(history, finalState)), ...findConnectionsOverCap(finalState, options.connectionCap)];
};

/** Compares the answers that callers received with the final state of the endpoints. */
export const checkHistory = (options: CheckOptions): CheckReport => {
	const {history, finalStates, faultAtMs, faultDatabase} = options;
	const historyViolations = [
		...finalStates.flatMap(finalState => checkGroup(options, finalState)),
		...findMixedAnswers(history),
		...findCutRequests(history),
	];
	const count = (kind: HistoryViolationKind): number => historyViolations.filter(violation => violation.kind === kind).length;
	const faultHistory = faultDatabase === undefined ? history : filterByDatabase(history, faultDatabase);
	return {
		acknowledgedWrites: new Set(history.filter(entry => isAcknowledged(entry)).map(entry => entry.requestKey)).size,
		lostWrites: count('lost-write'),
		doubledWrites: count('doubled-write'),
		alteredWrites: count('altered-write'),
		staleSessionReads: count('stale-session-read'),
		falseNotRun: count('false-not-run'),
		mixedAnswers: count('mixed-answer'),
		cutRequests: count('cut-request'),
		unknownOutcomes: countUnknownOutcomes(history),
		replicaReadShare: Number(calculateReplicaReadShare(history).toFixed(4)),
		...measureWriteGap(faultHistory, faultAtMs),
		maxConnectionsSeen: Object.fromEntries(finalStates.flatMap(finalState =>
			Object.entries(finalState.maxConnectionsSeen).map(([member, seen]) => [`${finalState.database}/${member}`, seen]))),
		connectionsOverCap: count('connections-over-cap'),
		codes: countCodes(history),
		historyViolations,
	};
};

/** Whether the report has no lost, doubled or altered write, no stale session read and no false "not run". */
export const isDataConsistent = (report: CheckReport): boolean => [
	report.lostWrites, report.doubledWrites, report.alteredWrites, report.staleSessionReads, report.falseNotRun,
].every(count => count === 0);
