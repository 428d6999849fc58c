import {ManualTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {type ClientConnections, shutDown} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

const graceMs = 6000;

/** Shuts down with a connection that closes at the given time after SIGTERM, and records each step with its time. */
async function recordShutDownSteps(closesAtMs: number) {
	const timers = new ManualTimerService();
	const steps: string[] = [];
	const recordStep = (step: string) => {
		steps.push(`${timers.nowMs()} ${step}`);
	};

	const clients: ClientConnections = {
		get openConnections() {
			return timers.nowMs() < closesAtMs ? 1 : 0;
		},
		runningStatements: 0,
		closeWhenIdle() {
			recordStep('close when idle');
		},
		abortIdleTransactions() {
			recordStep('abort idle transactions');
		},
		async answerRemaining() {
			recordStep('answer remaining statements');
		},
		stop() {
			recordStep('stop listening');
		},
	};
	const pooler = {
		async beginShutdown() {
			recordStep('begin shutdown');
		},
		stop() {
			recordStep('stop pooler');
		},
	};
	const stopped = shutDown({
		pooler, clients, timers, events: new MemoryEventLog(), graceMs,
	});
	await timers.advanceAsync(graceMs, 20);
	await stopped;
	return steps;
}

// Guards against a shutdown that interrupts statements while the load balancer still sends connections, that leaves no
// time for open transactions, or that lasts until the process is killed.
test('the stages of a shutdown', async t => {
	t.matchSnapshot({
		'all connections closed at once': await recordShutDownSteps(0),
		'a transaction that ends within its part of the grace period': await recordShutDownSteps(2700),
		'a statement that runs long': await recordShutDownSteps(4000),
		'a connection that never becomes idle': await recordShutDownSteps(60_000),
	});
});
