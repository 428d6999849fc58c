import {isDeepStrictEqual} from 'node:util';
import {containsEntry, type LogEntry, type RunRecord} from '@dogwoodthread/platform/standin';
import {
	type ClientAttempt, type SoakHistory, type Violation, type ViolationKind,
} from '../definitions.js';

/** Time limits that the user documentation promises, in ms. */
export const bounds = {
	drainMs: 7000, stableMs: 4000, configurationMs: 3000, graceMs: 6000, closeRaceToleranceMs: 200, recoveryMs: 12_000,
};

/** A statement sent later than this after SIGTERM may still be running when the grace period ends. */
const maxSendDelayAtStopMs = 3000;

/** The history, indexed for lookups by statement. */
type HistoryIndex = {
	history: SoakHistory;
	attempts: Map<string, ClientAttempt>;
	runs: Map<string, RunRecord[]>;
	/** Entries of the final logs that contain the statement, by statement id. */
	logEntries: Map<string, LogEntry[]>;
	/** Write statements by transaction. */
	transactionWrites: Map<string, ClientAttempt[]>;
};

type Check = (index: HistoryIndex) => Violation[];

const groupBy = <T, K>(items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> => {
	const groups = new Map<K, T[]>();
	for (const item of items) {
		const group = groups.get(keyOf(item)) ?? [];
		group.push(item);
		groups.set(keyOf(item), group);
	}

	return groups;
};

const createViolation = (kind: ViolationKind, statementId: string, detail: string): Violation => ({kind, statementId, detail});

const createTransactionKey = ({sessionId, transactionId}: ClientAttempt): string => `${sessionId}/${transactionId}`;

/** Writes that a successful answer to this statement acknowledges. */
const findAcknowledgedWrites = ({transactionWrites}: HistoryIndex, attempt: ClientAttempt): ClientAttempt[] => {
	if (attempt.access === 'commit') {
		return transactionWrites.get(createTransactionKey(attempt)) ?? [];
	}

	return attempt.access === 'write' && attempt.transactionId === undefined ? [attempt] : [];
};

const checkLostWrites: Check = index => [...index.attempts.values()]
	.filter(({outcome}) => outcome === 'done')
	.flatMap(attempt => findAcknowledgedWrites(index, attempt))
	.filter(({statementId}) => !index.logEntries.has(statementId))
	.map(({statementId}) => createViolation('lost', statementId, 'acknowledged, but missing from the log'));

const checkDoubledWrites: Check = ({logEntries}) => [...logEntries]
	.filter(([, entries]) => entries.length > 1)
	.map(([statementId, entries]) => createViolation('doubled', statementId, `the log contains it ${entries.length} times`));

/** The text without the name of a prepared statement, which hosts may replace. */
const textWithoutName = (text: string): string => text.replace(/^EXECUTE [^ ]+ /, 'EXECUTE ');

const maxShownTextLength = 200;
const showText = (text: string): string => JSON.stringify(text.slice(0, maxShownTextLength));

const showStatement = ({text, shape}: {text: string; shape: string | undefined}): string => `${showText(text)} with shape ${shape === undefined ? 'none' : showText(shape)}`;

const checkAlteredStatements: Check = ({attempts, runs}) => [...runs.values()].flat().flatMap(run => {
	const attempt = attempts.get(run.statementId);
	if (!attempt) {
		return [createViolation('altered', run.statementId, `no client sent this statement: ${showText(run.text)}`)];
	}

	const changedFields = (['access', 'item', 'data', 'shape'] as const).filter(field => run[field] !== attempt[field]);
	const changed = [...changedFields, ...(textWithoutName(run.text) === textWithoutName(attempt.text) ? [] : ['text'])].join(', ');
	return changed === '' ? [] : [createViolation('altered', run.statementId, `ran with another ${changed}: sent ${showStatement(attempt)}, ran ${showStatement(run)}`)];
});

const checkProtocol: Check = ({history}) => history.protocolViolations.map(({instanceId, line, reason}) =>
	createViolation('malformed', '', `${instanceId} received ${showText(line)}: ${reason}`));

/** The clients send valid text only. In a transaction that failed, `malformed` is the answer to every statement. */
const checkRefusedText: Check = ({attempts}) => [...attempts.values()]
	.filter(({transactionId, reason}) => transactionId === undefined && reason === 'malformed')
	.map(({statementId, text}) => createViolation('refused-valid', statementId, `refused as malformed: ${showText(text)}`));

const checkMixedAnswers: Check = ({attempts, runs}) => [...attempts.values()]
	.filter(({outcome}) => outcome === 'done')
	.filter(({statementId, signature, rows}) => !(runs.get(statementId) ?? []).some(run =>
		run.signature === signature && isDeepStrictEqual([...run.rows], [...rows])))
	.map(({statementId}) => createViolation('mixed', statementId, 'no instance ran it with the signature and rows of the answer'));

const checkFalseNotRun: Check = index => [...index.attempts.values()]
	.filter(({outcome}) => outcome === 'promised-not-run')
	.flatMap(attempt => attempt.transactionId === undefined ? [attempt] : index.transactionWrites.get(createTransactionKey(attempt)) ?? [])
	.filter(({statementId}) => index.logEntries.has(statementId))
	.map(({statementId}) => createViolation('false-not-run', statementId, 'answered as not run, but the log contains it'));

const checkStaleReads: Check = index => {
	const {history, attempts, runs, logEntries} = index;
	const acknowledged = [...attempts.values()]
		.filter(({outcome}) => outcome === 'done')
		.flatMap(attempt => findAcknowledgedWrites(index, attempt).flatMap(write => {
			const entry = logEntries.get(write.statementId)?.at(-1);
			return entry ? [{entry, attempt}] : [];
		}));
	return history.databases.flatMap(({name, service, consistency, maxStalenessMs}) => {
		const commits = acknowledged
			.filter(({attempt}) => history.databases.find(database => database.name === attempt.database)?.service === service)
			.toSorted((a, b) => b.entry.index - a.entry.index);
		return [...attempts.values()]
			.filter(({access, database, outcome}) => access === 'read' && database === name && outcome === 'done')
			.flatMap(read => {
				const required = commits.find(({attempt}) => attempt.endedAtMs < read.beganAtMs - maxStalenessMs
					|| (consistency === 'read-your-writes' && attempt.sessionId === read.sessionId && attempt.endedAtMs < read.beganAtMs));
				const run = (runs.get(read.statementId) ?? []).find(({signature}) => signature === read.signature);
				return required && run && !containsEntry(run.applied, required.entry)
					? [createViolation('stale', read.statementId, `ran at ${run.applied.term}.${run.applied.index} of ${run.instanceId}, needs ${required.entry.term}.${required.entry.index}`)]
					: [];
			});
	});
};

const checkPinning: Check = ({attempts, runs}) => {
	const allRuns = [...runs.values()].flat();
	const clientKeyOf = (run: RunRecord): string => {
		const attempt = attempts.get(run.statementId);
		return attempt?.transactionId === undefined ? `single ${run.statementId}` : createTransactionKey(attempt);
	};

	const byTransaction = groupBy(allRuns.filter(({transactionId}) => transactionId !== undefined), ({transactionId}) => transactionId);
	const sharedTransactions = [...byTransaction.values()].flatMap(members => {
		const clients = new Set(members.map(run => clientKeyOf(run)));
		return clients.size > 1 ? [createViolation('pinning', members[0]!.statementId, `a transaction on ${members[0]!.instanceId} ran statements of ${clients.size} clients`)] : [];
	});
	const outsideTransaction = allRuns
		.filter(({statementId, transactionId}) => transactionId === undefined && attempts.get(statementId)?.transactionId !== undefined)
		.map(({statementId}) => createViolation('pinning', statementId, 'ran outside its transaction'));
	const wrongSessionValues = allRuns.flatMap(({statementId, sessionValues}) => {
		const expected = attempts.get(statementId)?.sessionValues;
		return expected && !isDeepStrictEqual({...expected}, {...sessionValues})
			? [createViolation('pinning', statementId, `ran with session values ${JSON.stringify(sessionValues)}`)]
			: [];
	});
	return [...sharedTransactions, ...outsideTransaction, ...wrongSessionValues];
};

const checkRouting: Check = ({history, attempts, runs}) => [...runs.values()].flat().flatMap(run => {
	const attempt = attempts.get(run.statementId);
	const database = history.databases.find(({name}) => name === attempt?.database);
	return database && database.service !== run.service
		? [createViolation('routing', run.statementId, `ran on service ${run.service} instead of ${database.service}`)]
		: [];
});

/** Whether no unplanned fault was active during the period or within `bounds.stableMs` before it. */
export const isUndisturbed = ({disturbances}: Pick<SoakHistory, 'disturbances'>, fromMs: number, untilMs: number): boolean =>
	!disturbances.some(span => span.fromMs < untilMs && span.untilMs + bounds.stableMs > fromMs);

/**
 * Whether an answer that was based on an older configuration came too late to be allowed: the statement was sent more
 * than `bounds.configurationMs` after the change was acknowledged. The limit also applies to a change acknowledged
 * during a fault, and is enforced once the fault has been over for `bounds.stableMs`.
 */
export const isConfigurationLate = (
	{acknowledgedAtMs, sentAtMs, answeredAtMs}: {acknowledgedAtMs: number; sentAtMs: number; answeredAtMs: number},
	history: Pick<SoakHistory, 'disturbances'>,
): boolean => sentAtMs - acknowledgedAtMs > bounds.configurationMs && isUndisturbed(history, sentAtMs, answeredAtMs);

const checkDrainedInstances: Check = ({history, runs}) => history.drained.flatMap(({instanceId, acknowledgedAtMs}) => {
	const deadlineMs = acknowledgedAtMs + bounds.drainMs;
	return [...runs.values()].flat()
		.filter(run => run.instanceId === instanceId && run.ranAtMs > deadlineMs && run.transactionId === undefined && isUndisturbed(history, acknowledgedAtMs, run.ranAtMs))
		.map(({statementId, ranAtMs}) => createViolation('late-to-drained', statementId, `reached ${instanceId} ${Math.round(ranAtMs - acknowledgedAtMs)} ms after its drain was acknowledged`));
});

/**
 * Statements that a stopping host left without an answer. A host may close an idle connection just as a client sends a
 * statement on it; this is no violation if the statement reached no instance and the client noticed it at once.
 */
const checkStops: Check = ({history, attempts, runs}) => [...attempts.values()]
	.filter(({outcome, reason}) => outcome === 'unknown' && reason === 'closed')
	.filter(({statementId, sentAtMs, endedAtMs}) => runs.has(statementId) || endedAtMs > sentAtMs + bounds.closeRaceToleranceMs)
	.filter(({hostIndex, sentAtMs, endedAtMs}) => history.stops.some(stop => stop.hostIndex === hostIndex && endedAtMs >= stop.fromMs
		&& endedAtMs <= stop.untilMs && sentAtMs <= stop.fromMs + maxSendDelayAtStopMs) && isUndisturbed(history, sentAtMs, endedAtMs))
	.map(({statementId, hostIndex}) => createViolation('cut-at-stop', statementId, `host ${hostIndex} closed the connection without an answer`));

/** Orders of promotions in which the fencing token decreases, or two hosts use the same one. */
export function checkFencingTokens(orders: ReadonlyArray<{holder: string; token: number}>): Violation[] {
	return orders.flatMap(({holder, token}, index) => {
		const earlier = orders.slice(0, index).find(other => other.token > token || (other.token === token && other.holder !== holder));
		return earlier ? [createViolation('fencing', '', `${holder} ordered a promotion with token ${token} after ${earlier.holder} used ${earlier.token}`)] : [];
	});
}

const checks: readonly Check[] = [
	checkLostWrites,
	checkDoubledWrites,
	checkAlteredStatements,
	checkProtocol,
	checkRefusedText,
	checkMixedAnswers,
	checkFalseNotRun,
	checkStaleReads,
	checkPinning,
	checkRouting,
	checkDrainedInstances,
	checkStops,
];

/** Checks the guarantees given to clients against what clients and instances recorded. */
export function checkSoakHistory(history: SoakHistory): Violation[] {
	const logEntries = new Map<string, LogEntry[]>();
	for (const {head} of history.finalLogs) {
		for (let entry: LogEntry | undefined = head; entry; entry = entry.previous) {
			for (const statementId of entry.statementIds) {
				logEntries.set(statementId, [...logEntries.get(statementId) ?? [], entry]);
			}
		}
	}

	const index: HistoryIndex = {
		history,
		attempts: new Map(history.attempts.map(attempt => [attempt.statementId, attempt])),
		runs: groupBy(history.runs, ({statementId}) => statementId),
		logEntries,
		transactionWrites: groupBy(history.attempts.filter(({access, transactionId}) => access === 'write' && transactionId !== undefined), attempt => createTransactionKey(attempt)),
	};
	return checks.flatMap(check => check(index));
}
