import {
	type DocumentTruth, type EditRecord, type HarmCounts, type VersionObservation,
} from '../definitions.js';
import {measureInForce} from './in-force.js';

/** Line that an edit adds to its section; nobody removes it again. */
export const markerOf = (changeId: string): string => `# ${changeId}`;

const markersIn = ({finalTexts}: DocumentTruth, {section, changeId}: EditRecord): number =>
	finalTexts[section].split('\n').filter(line => line === markerOf(changeId)).length;

const versionsInHistory = ({history}: DocumentTruth, changeId: string): number[] =>
	history.filter(entry => entry.changeId === changeId).map(({version}) => version);

const isWronglyReported = (truth: DocumentTruth, {outcome, changeId, acceptedVersion}: EditRecord): boolean => {
	const versions = versionsInHistory(truth, changeId);
	return outcome === 'refused'
		? versions.length > 0
		: outcome === 'accepted' && versions.length > 0 && !versions.includes(acceptedVersion ?? 0);
};

const keyOf = ({hostId, processId}: VersionObservation): string => `${hostId}#${processId}`;

const byReceipt = (observations: readonly VersionObservation[]): VersionObservation[] =>
	[...observations].sort((a, b) => a.receivedAtMs - b.receivedAtMs);

/** Highest versions that were in force on all hosts, with the time when that was known. */
const floors = ({observations, hostIds}: DocumentTruth): Array<{atMs: number; version: number}> => {
	const latest = new Map<string, number>();
	const found = [{atMs: -Infinity, version: 0}];
	for (const {hostId, version, receivedAtMs} of byReceipt(observations)) {
		latest.set(hostId, version);
		const common = latest.size < hostIds.length ? 0 : Math.min(...latest.values());
		if (common > found.at(-1)!.version) {
			found.push({atMs: receivedAtMs, version: common});
		}
	}

	return found;
};

/** Drops within one process, and ready answers below what was in force on all when they were asked for. */
export const countReverts = (truth: DocumentTruth): number => {
	const known = floors(truth);
	const previous = new Map<string, number>();
	let floorIndex = 0;
	return [...truth.observations].sort((a, b) => a.sentAtMs - b.sentAtMs).filter(observation => {
		const before = previous.get(keyOf(observation)) ?? 0;
		previous.set(keyOf(observation), observation.version);
		while (known[floorIndex + 1] && known[floorIndex + 1]!.atMs <= observation.sentAtMs) {
			floorIndex += 1;
		}

		return observation.version < before || (observation.ready && observation.version < known[floorIndex]!.version);
	}).length;
};

const countSplits = ({contents}: DocumentTruth): number => {
	const digests = new Map<number, Set<string>>();
	for (const {version, digest} of contents) {
		digests.set(version, (digests.get(version) ?? new Set()).add(digest));
	}

	return [...digests.values()].filter(({size}) => size > 1).length;
};

/** Counts each kind of harm; 0 everywhere is what must hold. */
export const countHarm = (truth: DocumentTruth): HarmCounts => {
	const {edits} = truth;
	const accepted = edits.filter(({outcome}) => outcome === 'accepted');
	return {
		lostChanges: accepted.filter(edit => markersIn(truth, edit) === 0 || versionsInHistory(truth, edit.changeId).length === 0).length,
		doubledChanges: edits.filter(edit => markersIn(truth, edit) > 1 || versionsInHistory(truth, edit.changeId).length > 1).length,
		reverts: countReverts(truth),
		splits: countSplits(truth),
		wronglyReported: edits.filter(edit => isWronglyReported(truth, edit)).length,
		unresolvedChanges: edits.filter(({outcome}) => outcome === 'unresolved').length,
		neverInForce: measureInForce(truth).filter(({reachedAtMs}) => reachedAtMs === undefined).length,
	};
};
