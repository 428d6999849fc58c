import {isDeepStrictEqual} from 'node:util';
import {containsEntry, type LogEntry, type RunRecord} from '@dogwoodthread/platform/standin';
import {
	type ClientAttempt, type SoakHistory, type Violation, type ViolationKind,
} from '../definitions.js';

/** Bounds of the users' pages, in ms. */
export const bounds = {
	drainMs: 7000, stableMs: 4000, configurationMs: 3000, graceMs: 6000, lossSlackMs: 200, recoveryMs: 12_000,
};

/** Statements sent later than this after SIGTERM, in ms, may still be at work when the grace ends. */
const latestAtStopMs = 3000;

/** What the checks look up for each statement. */
type Index = {
	history: SoakHistory;
	attempts: Map<string, ClientAttempt>;
	runs: Map<string, RunRecord[]>;
	/** Entries of the final logs that hold the statement. */
	kept: Map<string, LogEntry[]>;
	/** Statements that write, by transaction. */
	transactionWrites: Map<string, ClientAttempt[]>;
};

type Check = (index: Index) => Violation[];

const groupBy = <T, K>(items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> => {
	const groups = new Map<K, T[]>();
	for (const item of items) {
		const group = groups.get(keyOf(item)) ?? [];
		group.push(item);
		groups.set(keyOf(item), group);
	}

	return groups;
};

const violation = (kind: ViolationKind, statementId: string, detail: string): Violation => ({kind, statementId, detail});

const transactionKey = ({sessionId, transactionId}: ClientAttempt): string => `${sessionId}/${transactionId}`;

/** Writes that a successful answer of this statement acknowledges. */
const acknowledgedWrites = ({transactionWrites}: Index, attempt: ClientAttempt): ClientAttempt[] => {
	if (attempt.access === 'commit') {
		return transactionWrites.get(transactionKey(attempt)) ?? [];
	}

	return attempt.access === 'write' && attempt.transactionId === undefined ? [attempt] : [];
};

const checkLost: Check = index => [...index.attempts.values()]
	.filter(({outcome}) => outcome === 'done')
	.flatMap(attempt => acknowledgedWrites(index, attempt))
	.filter(({statementId}) => !index.kept.has(statementId))
	.map(({statementId}) => violation('lost', statementId, 'acknowledged, but not in the log'));

const checkDoubled: Check = ({kept}) => [...kept]
	.filter(([, entries]) => entries.length > 1)
	.map(([statementId, entries]) => violation('doubled', statementId, `in ${entries.length} places of the log`));

const checkAltered: Check = ({attempts, runs}) => [...runs.values()].flat().flatMap(run => {
	const attempt = attempts.get(run.statementId);
	if (!attempt) {
		return [violation('altered', run.statementId, 'no client sent it')];
	}

	const isSame = (['access', 'item', 'data', 'shape'] as const).every(field => run[field] === attempt[field]);
	return isSame ? [] : [violation('altered', run.statementId, 'ran with another text')];
});

const checkMixed: Check = ({attempts, runs}) => [...attempts.values()]
	.filter(({outcome}) => outcome === 'done')
	.filter(({statementId, signature, rows}) => !(runs.get(statementId) ?? []).some(run =>
		run.signature === signature && run.rows.join('\n') === rows.join('\n')))
	.map(({statementId}) => violation('mixed', statementId, 'answered without an instance\'s signature and rows'));

const checkFalseNotRun: Check = index => [...index.attempts.values()]
	.filter(({outcome}) => outcome === 'promised-not-run')
	.flatMap(attempt => attempt.transactionId === undefined ? [attempt] : index.transactionWrites.get(transactionKey(attempt)) ?? [])
	.filter(({statementId}) => index.kept.has(statementId))
	.map(({statementId}) => violation('false-not-run', statementId, 'the client was told that nothing is kept'));

const checkStale: Check = index => {
	const {history, attempts, runs, kept} = index;
	const acknowledged = [...attempts.values()]
		.filter(({outcome}) => outcome === 'done')
		.flatMap(attempt => acknowledgedWrites(index, attempt).flatMap(write => {
			const entry = kept.get(write.statementId)?.at(-1);
			return entry ? [{entry, attempt}] : [];
		}));
	return history.databases.flatMap(({name, service, consistency, maxStalenessMs}) => {
		const commits = acknowledged
			.filter(({attempt}) => history.databases.find(database => database.name === attempt.database)?.service === service)
			.toSorted((a, b) => b.entry.index - a.entry.index);
		return [...attempts.values()]
			.filter(({access, database, outcome}) => access === 'read' && database === name && outcome === 'done')
			.flatMap(read => {
				const needed = commits.find(({attempt}) => attempt.endedAtMs < read.beganAtMs - maxStalenessMs
					|| (consistency === 'read-your-writes' && attempt.sessionId === read.sessionId && attempt.endedAtMs < read.beganAtMs));
				const run = (runs.get(read.statementId) ?? []).find(({signature}) => signature === read.signature);
				return needed && run && !containsEntry(run.applied, needed.entry)
					? [violation('stale', read.statementId, `ran at ${run.applied.term}.${run.applied.index} of ${run.instanceId}, needs ${needed.entry.term}.${needed.entry.index}`)]
					: [];
			});
	});
};

const checkPinning: Check = ({attempts, runs}) => {
	const all = [...runs.values()].flat();
	const clientOf = (run: RunRecord): string => {
		const attempt = attempts.get(run.statementId);
		return attempt?.transactionId === undefined ? `single ${run.statementId}` : transactionKey(attempt);
	};

	const byTransaction = groupBy(all.filter(({transactionId}) => transactionId !== undefined), ({transactionId}) => transactionId);
	const shared = [...byTransaction.values()].flatMap(members => {
		const clients = new Set(members.map(run => clientOf(run)));
		return clients.size > 1 ? [violation('pinning', members[0]!.statementId, `one transaction of ${members[0]!.instanceId} ran statements of ${clients.size} clients`)] : [];
	});
	const outside = all
		.filter(({statementId, transactionId}) => transactionId === undefined && attempts.get(statementId)?.transactionId !== undefined)
		.map(({statementId}) => violation('pinning', statementId, 'ran outside its transaction'));
	const values = all.flatMap(({statementId, sessionValues}) => {
		const expected = attempts.get(statementId)?.sessionValues;
		return expected && !isDeepStrictEqual({...expected}, {...sessionValues})
			? [violation('pinning', statementId, `ran with session values ${JSON.stringify(sessionValues)}`)]
			: [];
	});
	return [...shared, ...outside, ...values];
};

const checkRouting: Check = ({history, attempts, runs}) => [...runs.values()].flat().flatMap(run => {
	const attempt = attempts.get(run.statementId);
	const database = history.databases.find(({name}) => name === attempt?.database);
	return database && database.service !== run.service
		? [violation('routing', run.statementId, `ran at ${run.service} instead of ${database.service}`)]
		: [];
});

/** Whether no unplanned fault struck in the span, nor within the stable time before it. */
export const isCalm = ({disturbances}: Pick<SoakHistory, 'disturbances'>, fromMs: number, untilMs: number): boolean =>
	!disturbances.some(span => span.fromMs < untilMs && span.untilMs + bounds.stableMs > fromMs);

/**
 * Whether a statement that a host answered by an older configuration was sent too late for that. A change that was
 * acknowledged during a fault has the same bound, which holds again once the fault has been over for the stable time.
 */
export const isConfigurationLate = (
	{acknowledgedAtMs, sentAtMs, answeredAtMs}: {acknowledgedAtMs: number; sentAtMs: number; answeredAtMs: number},
	history: Pick<SoakHistory, 'disturbances'>,
): boolean => sentAtMs - acknowledgedAtMs > bounds.configurationMs && isCalm(history, sentAtMs, answeredAtMs);

const checkDrained: Check = ({history, runs}) => history.drained.flatMap(({instanceId, acknowledgedAtMs}) => {
	const deadlineMs = acknowledgedAtMs + bounds.drainMs;
	return [...runs.values()].flat()
		.filter(run => run.instanceId === instanceId && run.ranAtMs > deadlineMs && run.transactionId === undefined && isCalm(history, acknowledgedAtMs, run.ranAtMs))
		.map(({statementId, ranAtMs}) => violation('late-to-drained', statementId, `reached ${instanceId} ${Math.round(ranAtMs - acknowledgedAtMs)} ms after it announced that it leaves`));
});

/** A statement that crosses the close of a resting connection is not cut if it reached no instance. */
const checkStops: Check = ({history, attempts, runs}) => [...attempts.values()]
	.filter(({outcome, reason}) => outcome === 'unknown' && reason === 'closed')
	.filter(({statementId, sentAtMs, endedAtMs}) => runs.has(statementId) || endedAtMs > sentAtMs + bounds.lossSlackMs)
	.filter(({hostIndex, sentAtMs, endedAtMs}) => history.stops.some(stop => stop.hostIndex === hostIndex && endedAtMs >= stop.fromMs
		&& endedAtMs <= stop.untilMs && sentAtMs <= stop.fromMs + latestAtStopMs) && isCalm(history, sentAtMs, endedAtMs))
	.map(({statementId, hostIndex}) => violation('cut-at-stop', statementId, `host ${hostIndex} closed the connection without an answer`));

const checks: readonly Check[] = [
	checkLost, checkDoubled, checkAltered, checkMixed, checkFalseNotRun, checkStale, checkPinning, checkRouting, checkDrained, checkStops,
];

/** Checks the promises to clients against what clients and instances saw. */
export function checkHistory(history: SoakHistory): Violation[] {
	const kept = new Map<string, LogEntry[]>();
	for (const {head} of history.finalLogs) {
		for (let entry: LogEntry | undefined = head; entry; entry = entry.previous) {
			for (const statementId of entry.statementIds) {
				kept.set(statementId, [...kept.get(statementId) ?? [], entry]);
			}
		}
	}

	const index: Index = {
		history,
		attempts: new Map(history.attempts.map(attempt => [attempt.statementId, attempt])),
		runs: groupBy(history.runs, ({statementId}) => statementId),
		kept,
		transactionWrites: groupBy(history.attempts.filter(({access, transactionId}) => access === 'write' && transactionId !== undefined), attempt => transactionKey(attempt)),
	};
	return checks.flatMap(check => check(index));
}
