import {test} from 'tap';
import {
	FairAdmission, SystemTimerService, type AdmissionRequest, type Permit,
} from '../../src/index.js';
import {percentile} from './simulation.js';

// Guards against refusals that are so expensive that they overload the proxy at a demand peak. Rounds of both
// kinds alternate and their medians are compared, because times vary between runs on a shared machine.
test('a refusal costs less than an admitted request that waited', async t => {
	const timers = new SystemTimerService();
	const admission = new FairAdmission({timers, limits: {slots: 2, longSlots: 1, queueLength: 100}, random: Math.random});
	const request = (index: number): AdmissionRequest => ({
		callerId: `caller ${index % 20}`, statementName: 'hold', workClass: 'short', deadlineMs: timers.nowMs() + 60_000,
	});
	const count = 100;
	/** Runs requests that keep their slots until the gate opens. Returns the number of admitted requests. */
	const run = async (gate: Promise<void> | undefined): Promise<number> => {
		const answers = await Promise.all(Array.from({length: count}, async (_, index) => {
			const answer = await admission.admit(request(index));
			if (answer.isErr()) {
				return 0;
			}

			await gate;
			answer.value.release('completed');
			return 1;
		}));
		return answers.filter(Boolean).length;
	};

	const timed = async (): Promise<[number, number]> => {
		const startMs = performance.now();
		const admitted = await run(undefined);
		return [admitted, performance.now() - startMs];
	};

	const round = async (): Promise<[number, number]> => {
		const [served, servedMs] = await timed();
		let open: (() => void) | undefined;
		const gate = new Promise<void>(resolve => {
			open = resolve;
		});
		const holding = [run(gate), run(gate)];
		const [admitted, refusedMs] = await timed();
		open?.();
		await Promise.all(holding);
		t.same([served, admitted], [count, 0]);
		return [servedMs, refusedMs];
	};

	const figures: Array<[number, number]> = [];
	for (let index = 0; index < 60; index++) {
		figures.push(await round());
	}

	const measured = figures.slice(10);
	const [servedMs, refusedMs] = [0, 1].map(kind => percentile(measured.map(pair => pair[kind]!), 0.5));
	t.comment(`admitted ${(servedMs! * 1000 / count).toFixed(1)} us, refused ${(refusedMs! * 1000 / count).toFixed(1)} us, ratio ${(refusedMs! / servedMs!).toFixed(2)}`);
	t.ok(refusedMs! < servedMs!);
	timers.close();
});
