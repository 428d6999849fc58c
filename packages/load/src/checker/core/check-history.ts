import {type HistoryEntry} from '../../history/index.js';
import {
	type CheckOptions, type CheckReport, type GroupTruth, type Harm, type HarmKind, type HistoryCheck,
} from '../definitions.js';
import {
	countCodes, countUnknownOutcomes, findConnectionsOverCap, findCutRequests, findMixedAnswers, replicaReadShare,
} from '../domain/answer-checks.js';
import {findStaleSessionReads} from '../domain/session-checks.js';
import {
	findAlteredWrites, findDoubledWrites, findFalseNotRun, findLostWrites, isAcknowledged,
} from '../domain/write-checks.js';
import {measureWriteGap} from '../domain/write-gap.js';

const checks: HistoryCheck[] = [
	findLostWrites, findDoubledWrites, findAlteredWrites, findStaleSessionReads, findFalseNotRun,
];

const ofDatabase = (history: readonly HistoryEntry[], database: string): HistoryEntry[] =>
	history.filter(entry => entry.database === database);

const harmsOfGroup = (options: CheckOptions, truth: GroupTruth): Harm[] => {
	const history = ofDatabase(options.history, truth.database);
	return [...checks.flatMap(check => check(history, truth)), ...findConnectionsOverCap(truth, options.connectionCap)];
};

/** Compares what callers were told with what the endpoints hold. */
export const checkHistory = (options: CheckOptions): CheckReport => {
	const {history, truths, faultAtMs, faultDatabase} = options;
	const harms = [
		...truths.flatMap(truth => harmsOfGroup(options, truth)),
		...findMixedAnswers(history),
		...findCutRequests(history),
	];
	const count = (kind: HarmKind): number => harms.filter(harm => harm.kind === kind).length;
	const concerned = faultDatabase === undefined ? history : ofDatabase(history, faultDatabase);
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
		replicaReadShare: Number(replicaReadShare(history).toFixed(4)),
		...measureWriteGap(concerned, faultAtMs),
		maxConnectionsSeen: Object.fromEntries(truths.flatMap(truth =>
			Object.entries(truth.maxConnectionsSeen).map(([member, seen]) => [`${truth.database}/${member}`, seen]))),
		connectionsOverCap: count('connections-over-cap'),
		codes: countCodes(history),
		harms,
	};
};

/** Whether none of the five counts of harm to bookings, payments and sessions is above 0. */
export const isFreeOfHarm = (report: CheckReport): boolean => [
	report.lostWrites, report.doubledWrites, report.alteredWrites, report.staleSessionReads, report.falseNotRun,
].every(count => count === 0);
