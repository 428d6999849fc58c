import {ManualTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {type ClientConnections, shutDown} from '../../src/index.js';
import {MemoryEventLog} from '../fixtures/fake-endpoints.js';

const graceMs = 6000;

/** Stops with connections that are open until the given times after SIGTERM, and notes each step with its time. */
async function stopWith(closesAtMs: number) {
	const timers = new ManualTimerService();
	const steps: string[] = [];
	const note = (step: string) => {
		steps.push(`${timers.nowMs()} ${step}`);
	};

	const clients: ClientConnections = {
		get openConnections() {
			return timers.nowMs() < closesAtMs ? 1 : 0;
		},
		closeIdle() {
			note('close idle');
		},
		abortTransactions() {
			note('abort transactions');
		},
		stop() {
			note('stop listening');
		},
	};
	const pooler = {
		async beginShutdown() {
			note('begin shutdown');
		},
		stop() {
			note('stop pooler');
		},
	};
	const stopped = shutDown({
		pooler, clients, timers, events: new MemoryEventLog(), graceMs,
	});
	await timers.advanceAsync(graceMs, 20);
	await stopped;
	return steps;
}

// Guards against a stop that cuts statements while the load balancer still sends connections, that leaves open
// transactions no time, or that lasts until the process is killed.
test('the stages of a stop', async t => {
	t.matchSnapshot({
		'all closed at once': await stopWith(0),
		'a transaction ends within its part of the grace': await stopWith(2700),
		'a statement runs for long': await stopWith(4000),
		'a connection never comes to rest': await stopWith(60_000),
	});
});
