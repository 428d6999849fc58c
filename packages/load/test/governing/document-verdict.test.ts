import {test} from 'tap';
import {type DocumentTruth, type EditRecord, type VersionObservation} from '../../src/governing/definitions.js';
import {countHarm, markerOf} from '../../src/governing/domain/harm.js';
import {measureInForce, summarize} from '../../src/governing/domain/in-force.js';

const hostIds = ['p1', 'p2'];

/** Answer of a process that took 10 ms. */
const seen = (host: string, atMs: number, version: number, ready = true): VersionObservation => {
	const [hostId = '', processId = '1'] = host.split('#');
	return {
		hostId, processId: Number(processId), sentAtMs: atMs - 10, receivedAtMs: atMs, version, ready,
	};
};

const edit: EditRecord = {
	changeId: 'change-2', section: 'monitor', phase: 'race', outcome: 'accepted', acceptedVersion: 2, acceptedAtMs: 100,
};

const clean: DocumentTruth = {
	edits: [edit],
	observations: [seen('p1', 50, 1), seen('p2', 50, 1), seen('p1', 200, 2), seen('p2', 300, 2)],
	contents: [{hostId: 'p1', version: 2, digest: 'a'}, {hostId: 'p2', version: 2, digest: 'a'}],
	hostIds,
	outages: [],
	pauses: [],
	finalTexts: {
		databases: '', applications: '', operations: '', monitor: `${markerOf('change-2')}\n`,
	},
	history: [{changeId: 'change-2', version: 2}, {changeId: 'change-1', version: 1}],
};

const noHarm = {
	lostChanges: 0, doubledChanges: 0, reverts: 0, splits: 0, wronglyReported: 0, unresolvedChanges: 0, neverInForce: 0,
};

// Guards against a run that counts as clean although a change was harmed, and against false alarms.
test('each kind of harm is counted', t => {
	const {observations, history, finalTexts} = clean;
	const cases: Array<[string, Partial<DocumentTruth>, Partial<typeof noHarm>]> = [
		['nothing', {}, {}],
		['the change is not in the document', {finalTexts: {...finalTexts, monitor: ''}}, {lostChanges: 1}],
		['the change is not in the history', {history: history.slice(1)}, {lostChanges: 1}],
		['the change is in the history twice', {history: [{changeId: 'change-2', version: 3}, ...history]}, {doubledChanges: 1}],
		['the change is in the document twice', {finalTexts: {...finalTexts, monitor: finalTexts.monitor.repeat(2)}}, {doubledChanges: 1}],
		['a refused edit is in the history', {edits: [{...edit, outcome: 'refused'}]}, {wronglyReported: 1}],
		['another version was reported', {edits: [{...edit, acceptedVersion: 1}]}, {wronglyReported: 1}],
		['an author never learned the outcome', {edits: [{...edit, outcome: 'unresolved'}]}, {unresolvedChanges: 1}],
		['a version went down in a process', {observations: [...observations, seen('p1', 400, 1, false)]}, {reverts: 1}],
		['a restarted proxy is ready with an old version', {observations: [...observations, seen('p1#2', 400, 1)]}, {reverts: 1}],
		['a restarted proxy is not ready yet', {observations: [...observations, seen('p1#2', 400, 0, false), seen('p1#2', 450, 2)]}, {}],
		['a poll was sent before the version was in force on all', {observations: [...observations, seen('p1#2', 305, 1)]}, {}],
		['two contents of one version', {contents: [...clean.contents, {hostId: 'p2', version: 2, digest: 'b'}]}, {splits: 1}],
		['a proxy never got the change', {observations: observations.slice(0, 3)}, {neverInForce: 1}],
	];
	for (const [name, change, harm] of cases) {
		t.same(countHarm({...clean, ...change}), {...noHarm, ...harm}, name);
	}

	t.end();
});

// Guards against times that leave out a slow proxy, or count one that was not live.
test('the time until a change is in force covers all live proxies', t => {
	const {observations} = clean;
	const cases: Array<[string, Partial<DocumentTruth>, {inForceMs?: number; afterOutageMs?: number}]> = [
		['the slowest proxy counts', {}, {inForceMs: 200}],
		['a version that was skipped is covered by a later one', {observations: [...observations.slice(0, 3), seen('p2', 400, 3)]}, {inForceMs: 300}],
		['a paused proxy is not live', {pauses: [{hostId: 'p2', fromMs: 60, toMs: 250}]}, {inForceMs: 100}],
		['a proxy that was not ready is not live', {observations: [seen('p1', 50, 1), seen('p2', 50, 0, false), ...observations.slice(2)]}, {inForceMs: 100}],
		['a proxy that ended is not live', {observations: [...observations.slice(0, 3), seen('p2#2', 400, 2)]}, {inForceMs: 100}],
		['an outage is told apart', {outages: [{fromMs: 110, toMs: 250}]}, {inForceMs: 200, afterOutageMs: 50}],
		['an earlier outage does not matter', {outages: [{fromMs: 10, toMs: 90}]}, {inForceMs: 200}],
	];
	for (const [name, change, expected] of cases) {
		const [{inForceMs, afterOutageMs} = {}] = measureInForce({...clean, ...change});
		t.same({inForceMs, afterOutageMs}, {afterOutageMs: undefined, ...expected}, name);
	}

	t.same(summarize([3, 1, 2]), {
		count: 3, p50: 2, p99: 3, max: 3,
	});
	t.end();
});
