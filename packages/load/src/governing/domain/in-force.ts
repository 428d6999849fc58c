import {
	type DocumentTruth, type EditRecord, type Period, type VersionObservation,
} from '../definitions.js';

export type InForceTime = {
	edit: EditRecord;
	/** When the last live proxy was seen with the change; absent if one never was. */
	reachedAtMs?: number;
	/** From acceptance to in force on all live proxies. */
	inForceMs?: number;
	/** Time until in force that remained once the platform served again; absent without an outage meanwhile. */
	afterOutageMs?: number;
};

export type InForceSummary = {count: number; p50: number; p99: number; max: number};

const overlaps = (period: Period, fromMs: number, toMs: number): boolean => period.fromMs < toMs && period.toMs > fromMs;

const byProcess = (observations: readonly VersionObservation[]): VersionObservation[][] => {
	const groups = new Map<string, VersionObservation[]>();
	for (const observation of observations) {
		const key = `${observation.hostId}#${observation.processId}`;
		const group = groups.get(key) ?? [];
		group.push(observation);
		groups.set(key, group);
	}

	return [...groups.values()];
};

type Reach = {kind: 'not-live'} | {kind: 'never'} | {kind: 'reached'; atMs: number};

/** Live are processes that were ready at the acceptance, that did not end and were not paused until then. */
const reachOf = (process: VersionObservation[], truth: DocumentTruth, edit: EditRecord): Reach => {
	const {acceptedVersion = 0, acceptedAtMs = 0} = edit;
	const before = process.findLast(({receivedAtMs}) => receivedAtMs <= acceptedAtMs);
	if (!before?.ready) {
		return {kind: 'not-live'};
	}

	const first = process.find(({version}) => version >= acceptedVersion);
	const {hostId, processId} = before;
	if (!first) {
		const isLast = truth.observations.findLast(each => each.hostId === hostId)?.processId === processId;
		return {kind: isLast ? 'never' : 'not-live'};
	}

	const wasPaused = truth.pauses.some(pause => pause.hostId === hostId && overlaps(pause, acceptedAtMs, first.receivedAtMs));
	return wasPaused ? {kind: 'not-live'} : {kind: 'reached', atMs: first.receivedAtMs};
};

const measureEdit = (edit: EditRecord, processes: VersionObservation[][], truth: DocumentTruth): InForceTime => {
	const acceptedAtMs = edit.acceptedAtMs ?? 0;
	const reaches = processes.map(process => reachOf(process, truth, edit));
	if (reaches.some(({kind}) => kind === 'never')) {
		return {edit};
	}

	const reachedAtMs = Math.max(acceptedAtMs, ...reaches.map(reach => reach.kind === 'reached' ? reach.atMs : 0));
	const outageEndMs = Math.max(...truth.outages.filter(outage => overlaps(outage, acceptedAtMs, reachedAtMs)).map(({toMs}) => toMs));
	return {
		edit,
		reachedAtMs,
		inForceMs: reachedAtMs - acceptedAtMs,
		afterOutageMs: Number.isFinite(outageEndMs) ? Math.max(0, reachedAtMs - outageEndMs) : undefined,
	};
};

/** Time until each accepted change was in force, as an upper bound: a version counts from the poll that showed it. */
export const measureInForce = (truth: DocumentTruth): InForceTime[] => {
	const processes = byProcess(truth.observations);
	return truth.edits.filter(({outcome}) => outcome === 'accepted').map(edit => measureEdit(edit, processes, truth));
};

const percentile = (sorted: readonly number[], share: number): number =>
	Math.round(sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0);

export const summarize = (times: readonly number[]): InForceSummary => {
	const sorted = [...times].sort((a, b) => a - b);
	return {
		count: sorted.length, p50: percentile(sorted, 0.5), p99: percentile(sorted, 0.99), max: percentile(sorted, 1),
	};
};
