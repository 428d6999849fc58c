import {type HistoryEntry} from '../../history/index.js';
import {type GroupTruth, type Harm, type UnknownOutcomes} from '../definitions.js';
import {isAnswerRow} from './statements.js';

/** Answers with a row that belongs to another request. */
export const findMixedAnswers = (history: readonly HistoryEntry[]): Harm[] => history
	.filter(entry => entry.outcome === 'done' && entry.rows.some(row => !isAnswerRow(entry, row)))
	.map(entry => ({
		kind: 'mixed-answer', historyId: entry.id, detail: `${entry.statement} ${JSON.stringify(entry.parameters)} at ${entry.proxy} got ${JSON.stringify(entry.rows[0])}`,
	}));

/** Requests whose connection or stream ended before the answer. */
export const findCutRequests = (history: readonly HistoryEntry[]): Harm[] => history
	.filter(entry => entry.isCut)
	.map(entry => ({
		kind: 'cut-request', historyId: entry.id, detail: `${entry.statement} at ${entry.proxy} was cut (${entry.code}) ${(entry.returnMs - entry.invokeMs).toFixed(0)} ms after it was sent`,
	}));

export const findConnectionsOverCap = (truth: GroupTruth, cap: number): Harm[] => Object.entries(truth.maxConnectionsSeen)
	.filter(([, seen]) => seen > cap)
	.map(([member, seen]) => ({kind: 'connections-over-cap', detail: `${member} of ${truth.database} had ${seen} connections, its cap is ${cap}`}));

/** How the requests with an unknown outcome ended when they were repeated with the same key. */
export const countUnknownOutcomes = (history: readonly HistoryEntry[]): UnknownOutcomes => {
	const attempts = new Map<string, HistoryEntry[]>();
	for (const entry of history) {
		if (entry.requestKey !== undefined) {
			attempts.set(entry.requestKey, [...attempts.get(entry.requestKey) ?? [], entry]);
		}
	}

	const counts = {
		total: 0, resolvedRun: 0, resolvedNotRun: 0, unresolved: 0,
	};
	for (const entries of attempts.values()) {
		if (entries.some(entry => entry.outcome === 'unknown')) {
			counts.total += 1;
			counts[resolutionOf(entries)] += 1;
		}
	}

	return counts;
};

const resolutionOf = (attempts: HistoryEntry[]): 'resolvedRun' | 'resolvedNotRun' | 'unresolved' => {
	const done = attempts.find(entry => entry.outcome === 'done');
	if (!done) {
		return 'unresolved';
	}

	return done.isRepeated ? 'resolvedRun' : 'resolvedNotRun';
};

/** Attempts that were not done, by access, outcome and code. */
export const countCodes = (history: readonly HistoryEntry[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {access, outcome, code} of history.filter(entry => entry.outcome !== 'done')) {
		const name = `${access} ${outcome} ${code}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
};

/** Reads without a stated age, or with one above 0, may go to a replica. */
export const replicaReadShare = (history: readonly HistoryEntry[]): number => {
	const allowed = history.filter(entry => entry.access === 'read' && entry.outcome === 'done' && entry.maxAgeMs !== 0);
	return allowed.length === 0 ? 1 : allowed.filter(entry => entry.isByReplica).length / allowed.length;
};
