import {type HistoryEntry} from '../../history/index.js';
import {type FinalGroupState, type HistoryViolation, type UnknownOutcomes} from '../definitions.js';
import {canBeAnswerRow} from './statements.js';

/** Finds answers with a row that belongs to another request. */
export const findMixedAnswers = (history: readonly HistoryEntry[]): HistoryViolation[] => history
	.filter(entry => entry.outcome === 'done' && entry.rows.some(row => !canBeAnswerRow(entry, row)))
	.map(entry => ({
		kind: 'mixed-answer', historyId: entry.id, detail: `${entry.statement} ${JSON.stringify(entry.parameters)} at ${entry.proxy} got ${JSON.stringify(entry.rows[0])}`,
	}));

/** Finds requests whose connection or stream ended before the answer. */
export const findCutRequests = (history: readonly HistoryEntry[]): HistoryViolation[] => history
	.filter(entry => entry.isCut)
	.map(entry => ({
		kind: 'cut-request', historyId: entry.id, detail: `${entry.statement} at ${entry.proxy} was cut (${entry.code}) ${(entry.returnMs - entry.invokeMs).toFixed(0)} ms after it was sent`,
	}));

export const findConnectionsOverCap = (finalState: FinalGroupState, cap: number): HistoryViolation[] => Object.entries(finalState.maxConnectionsSeen)
	.filter(([, seen]) => seen > cap)
	.map(([member, seen]) => ({kind: 'connections-over-cap', detail: `${member} of ${finalState.database} had ${seen} connections, its cap is ${cap}`}));

/** Counts how requests with an unknown outcome were resolved by retries with the same key. */
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
			counts[classifyResolution(entries)] += 1;
		}
	}

	return counts;
};

const classifyResolution = (attempts: HistoryEntry[]): 'resolvedRun' | 'resolvedNotRun' | 'unresolved' => {
	const done = attempts.find(entry => entry.outcome === 'done');
	if (!done) {
		return 'unresolved';
	}

	return done.isRepeated ? 'resolvedRun' : 'resolvedNotRun';
};

/** Counts the attempts that were not done, by access, outcome and code. */
export const countCodes = (history: readonly HistoryEntry[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {access, outcome, code} of history.filter(entry => entry.outcome !== 'done')) {
		const name = `${access} ${outcome} ${code}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
};

/** Reads may go to a replica if they state no maximum age or one above 0. */
export const calculateReplicaReadShare = (history: readonly HistoryEntry[]): number => {
	const allowed = history.filter(entry => entry.access === 'read' && entry.outcome === 'done' && entry.maxAgeMs !== 0);
	return allowed.length === 0 ? 1 : allowed.filter(entry => entry.isByReplica).length / allowed.length;
};
