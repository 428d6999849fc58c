import {test} from 'tap';
import {
	FairAdmission, FifoAdmission, ManualTimerService, type AdmissionRequest,
} from '../../src/index.js';

const limits = {slots: 2, longSlots: 1, queueLength: 2};
const request = (change: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
	callerId: 'phone', statementName: 'hold', workClass: 'short', deadlineMs: 1000, ...change,
});
const kindOf = async (answer: ReturnType<FairAdmission['admit']>) => {
	const result = await answer;
	return result.isOk() ? 'admitted' : result.error.kind;
};

for (const Policy of [FairAdmission, FifoAdmission]) {
	// Guards against running work whose caller has given up, and against refusals of the wrong kind.
	test(`${Policy.name}: deadlines that cannot be met give typed refusals`, async t => {
		const timers = new ManualTimerService();
		timers.advance(100);
		const admission = new Policy({timers, limits, random: () => 0.5});
		const cases = [[0, 'deadline-cannot-be-met'],
			[-5, 'deadline-cannot-be-met'],
			[100, 'deadline-cannot-be-met'],
			[Number.NaN, 'invalid-request'],
			[101, 'admitted'],
			[Infinity, 'admitted']] as const;
		for (const [deadlineMs, expected] of cases) {
			t.equal(await kindOf(admission.admit(request({deadlineMs}))), expected, `deadline ${deadlineMs}`);
		}

		const expiring = admission.admit(request({deadlineMs: 150}));
		const waiting = admission.admit(request({deadlineMs: 400}));
		t.equal(await kindOf(admission.admit(request())), 'overloaded');
		timers.advance(50);
		t.equal(await kindOf(expiring), 'deadline-cannot-be-met', 'expired in the queue');
		t.equal(admission.queued, 1, 'an expired request leaves the queue at once');
		admission.close();
		t.equal(await kindOf(waiting), 'paused');
		t.equal(await kindOf(admission.admit(request())), 'paused');
		t.match(admission.stats().classes.short, {admitted: 2, queued: 0, running: 2});
	});
}

// Guards against a payment that is refused while repeatable reads stay queued, and against work that starts
// during a primary change or all at once after it.
test('critical work displaces browse, and a resumed admission starts work gradually', async t => {
	const timers = new ManualTimerService();
	const admission = new FairAdmission({timers, limits: {slots: 4, longSlots: 1, queueLength: 4}, random: () => 0.5});
	admission.pause();
	const browse = Array.from({length: 4}, async () => kindOf(admission.admit(request({workClass: 'browse'}))));
	const admitted: string[] = [];
	const critical = Array.from({length: 4}, async (_, index) => {
		const kind = await kindOf(admission.admit(request({workClass: 'critical'})));
		admitted.push(`${kind} ${index}`);
	});
	t.same(await Promise.all(browse), Array.from({length: 4}, () => 'overloaded'));
	t.equal(await kindOf(admission.admit(request({workClass: 'browse'}))), 'paused');
	admission.resume(300);
	await timers.advanceAsync(10);
	t.equal(admission.running, 1, 'one slot at the start of the ramp');
	await timers.advanceAsync(400, 10);
	await Promise.all(critical);
	t.same(admitted, [0, 1, 2, 3].map(index => `admitted ${index}`));
});
