import fc from 'fast-check';
import {test} from 'tap';
import {
	ConfirmationTracker, evaluateFailureEvidence, type FailureEvidence, type MemberStatus, type PrimaryObservations, PositionSamples,
} from '../../src/index.js';

const status = (memberId: string, index: number, overrides: Partial<MemberStatus> = {}): MemberStatus => ({
	memberId, role: 'replica', fencedTerm: 4, verifiedTerm: 4, received: {term: 4, index}, applied: {term: 4, index},
	primaryContact: true, leaving: false, slots: 5, busySlots: 0, ...overrides,
});

// Guards against counting members that do not hold the entry in the current term (property P2, see fake-group.ts).
test('P2: which reports confirm an entry of term 4', t => {
	const cases: Array<[name: string, reports: MemberStatus[], confirmedIndex: number]> = [
		['one of three', [status('a', 7)], 0],
		['majority', [status('a', 7), status('b', 5)], 5],
		['all, one ahead', [status('a', 9), status('b', 5), status('c', 7)], 7],
		['same member twice', [status('a', 7), status('a', 7)], 0],
		['fenced at a later term', [status('a', 7), status('b', 7, {fencedTerm: 5})], 0],
		['restarted without its fence', [status('a', 7), status('b', 7, {fencedTerm: 0})], 0],
		['log not verified in the term', [status('a', 7), status('b', 7, {verifiedTerm: 3})], 0],
		['entries of an older term only', [status('a', 7, {received: {term: 3, index: 7}}), status('b', 7, {received: {term: 3, index: 7}})], 0],
		['last entry of an older term', [status('a', 7), status('b', 7, {received: {term: 3, index: 7}})], 0],
		['a later report that is lower', [status('a', 7), status('b', 7), status('b', 2)], 7],
	];
	for (const [name, reports, confirmedIndex] of cases) {
		const tracker = new ConfirmationTracker(3);
		tracker.setTerm(4);
		for (const report of reports) {
			tracker.report(report);
		}

		t.equal(tracker.confirmedIndex, confirmedIndex, name);
		tracker.setTerm(3);
		t.equal(tracker.term, 4, `${name}: an older term is ignored`);
		t.notOk(tracker.isConfirmed(3, 1), `${name}: nothing is confirmed in an older term`);
	}

	const tracker = new ConfirmationTracker(3);
	tracker.setTerm(4);
	tracker.report(status('a', 5));
	tracker.removeMember('a');
	tracker.report(status('b', 5));
	t.equal(tracker.confirmedIndex, 0, 'a forgotten member does not count');
	t.end();
});

// Guards against a wait that ends because of an entry of another term, or never ends (P2).
test('P2: how a wait for entry 6 ends', async t => {
	const cases: Array<[name: string, term: number, then: (tracker: ConfirmationTracker, expire: () => void) => void, result: string]> = [
		['confirmed', 4, tracker => {
			tracker.report(status('a', 6));
			tracker.report(status('b', 6));
		}, 'confirmed'],
		['next term', 4, tracker => {
			tracker.setTerm(5);
		}, 'superseded'],
		['asked in an older term', 3, () => undefined, 'superseded'],
		['deadline', 4, (_tracker, expire) => {
			expire();
		}, 'timed-out'],
		['asked in a later term that the tracker does not know yet, index reached in term 4', 5, (tracker, expire) => {
			tracker.report(status('a', 6));
			tracker.report(status('b', 6));
			expire();
		}, 'timed-out'],
		['asked in a later term, confirmed there', 5, tracker => {
			tracker.setTerm(5);
			for (const memberId of ['a', 'b']) {
				tracker.report(status(memberId, 6, {fencedTerm: 5, verifiedTerm: 5, received: {term: 5, index: 6}}));
			}
		}, 'confirmed'],
	];
	for (const [name, term, then, result] of cases) {
		const tracker = new ConfirmationTracker(3);
		tracker.setTerm(4);
		let expire: () => void = () => undefined;
		const waiting = tracker.waitForConfirmation({
			term, index: 6, nowMs: 0, onTimeout(callback) {
				expire = callback;
				return () => undefined;
			},
		});
		then(tracker, expire);
		t.equal(await waiting, result, name);
		// An entry whose wait has timed out is still unconfirmed.
		t.equal(tracker.unconfirmedSinceMs, result === 'timed-out' && term === 4 ? 0 : undefined, `${name}: behind`);
	}
});

// Guards against a promotion without sufficient evidence, and against a missing one despite it (design 5.7).
test('P2: evidence against a primary', t => {
	const inContact = {contactLostSinceMs: undefined};
	const contactLost = {contactLostSinceMs: 0};
	const cases: Array<[name: string, observations: Partial<PrimaryObservations>, evidence: FailureEvidence]> = [
		['nothing', {}, 'none'],
		['one silent connection, fresh ones work', {primaryUnreachableSinceMs: undefined, isConfirmedByOtherDomain: true}, 'none'],
		['slow endpoint, unreachable for less than the bound', {primaryUnreachableSinceMs: 1, isConfirmedByOtherDomain: true}, 'none'],
		['unreachable, no witness', {primaryUnreachableSinceMs: 0}, 'none'],
		['unreachable with a witness', {primaryUnreachableSinceMs: 0, isConfirmedByOtherDomain: true}, 'unreachable'],
		['one replica without contact', {replicas: [contactLost, inContact]}, 'none'],
		['one replica without contact, no witness', {replicas: [contactLost, inContact], primaryUnreachableSinceMs: 0}, 'none'],
		['majority without contact', {replicas: [contactLost, contactLost]}, 'isolated'],
		['majority without contact for less than the bound', {replicas: [contactLost, {contactLostSinceMs: 1}]}, 'none'],
		['two of five without contact', {groupSize: 5, replicas: [contactLost, contactLost, inContact, inContact]}, 'none'],
		['three of five without contact', {groupSize: 5, replicas: [contactLost, contactLost, contactLost, inContact]}, 'isolated'],
		['this proxy is cut off from all', {replicas: [], primaryUnreachableSinceMs: 0, isConfirmedByOtherDomain: true}, 'none'],
		['this proxy is cut off from a majority', {replicas: [contactLost], primaryUnreachableSinceMs: 0, isConfirmedByOtherDomain: true}, 'none'],
	];
	for (const [name, observations, evidence] of cases) {
		t.equal(evaluateFailureEvidence({
			nowMs: 1000, detectionMs: 1000, groupSize: 3, primaryUnreachableSinceMs: undefined, isConfirmedByOtherDomain: false, replicas: [inContact, inContact], ...observations,
		}), evidence, name);
	}

	t.end();
});

// Guards against a reported age that is too low: the log end in each response was read between request and response.
test('the age bound is never below the true age', t => {
	const seed = Number(process.env.DOGWOOD_SEED ?? 20_261_204);
	t.comment(`DOGWOOD_SEED=${seed}`);
	const ping = fc.record({requestedAtMs: fc.nat(2000), readAfterMs: fc.nat(200), answeredAfterMs: fc.nat(200)});
	fc.assert(fc.property(fc.array(fc.nat(2000), {maxLength: 60}), fc.array(ping, {maxLength: 300, size: 'max'}), fc.nat(60), (writes, pings, applied) => {
		const log = writes.sort((a, b) => a - b);
		const samples = new PositionSamples();
		const answers = pings.map(({requestedAtMs, readAfterMs, answeredAfterMs}) => ({requestedAtMs, readAtMs: requestedAtMs + readAfterMs, atMs: requestedAtMs + readAfterMs + answeredAfterMs}));
		for (const {requestedAtMs, readAtMs} of answers.sort((a, b) => a.atMs - b.atMs)) {
			samples.add(2, requestedAtMs, log.filter(writtenAtMs => writtenAtMs <= readAtMs).length);
		}

		samples.add(1, 2400, 0);
		const bound = samples.ageBoundMs(2, applied, 2400);
		// The replica lacks all entries from the first unapplied one on.
		const trueAgeMs = applied < log.length ? 2400 - log[applied]! : 0;
		return (bound === undefined || bound >= trueAgeMs) && (pings.length === 0 || samples.ageBoundMs(1, applied, 2400) === undefined);
	}), {seed, numRuns: 2000});
	t.pass('the property holds');
	t.end();
});
