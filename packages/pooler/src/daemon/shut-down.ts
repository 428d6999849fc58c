import {type TimerService} from '@dogwoodthread/coordination';
import {type EventLog} from '../observability/index.js';

/** What a stop asks of the listener for clients. */
export type ClientConnections = {
	readonly openConnections: number;
	/** Closes connections that rest between operations, now and as they come to rest. */
	closeIdle(): void;
	/** Rolls back the transactions that are open between two statements. */
	abortTransactions(): void;
	/** Stops listening and closes what is left. */
	stop(): void;
};

export type ShutDownOptions = {
	/** Gives up duties and connections that other hosts may use; statements under way go on. */
	pooler: {beginShutdown(): Promise<void>; stop(): void};
	clients: ClientConnections;
	timers: TimerService;
	events: EventLog;
	/** Time until the process is killed, in ms. */
	graceMs: number;
};

/** The load balancer asks once a second and needs two misses, so it sends no new connections after this, in ms. */
export const outOfRotationMs = 2200;
/** Open transactions have this part of the grace to end. */
const transactionGraceShare = 0.5;
/** The process must be gone this long before it is killed, in ms. */
const exitMarginMs = 700;
const pollMs = 20;

/**
 * Ends the process without cutting a request: it first leaves the load balancer's rotation, then closes
 * connections as they come to rest.
 */
export async function shutDown({pooler, clients, timers, events, graceMs}: ShutDownOptions): Promise<void> {
	const startedMs = timers.nowMs();
	events.write('process-stopping', {openConnections: clients.openConnections, graceMs});
	const left = pooler.beginShutdown();
	await timers.sleep(outOfRotationMs);
	clients.closeIdle();
	await waitUntilClosed(clients, timers, startedMs + (graceMs * transactionGraceShare));
	clients.abortTransactions();
	clients.closeIdle();
	await waitUntilClosed(clients, timers, startedMs + graceMs - exitMarginMs);
	events.write('process-stopped', {openConnections: clients.openConnections, durationMs: Math.round(timers.nowMs() - startedMs)});
	clients.stop();
	pooler.stop();
	await Promise.race([left, timers.sleep(pollMs)]);
}

async function waitUntilClosed(clients: ClientConnections, timers: TimerService, deadlineMs: number): Promise<void> {
	while (clients.openConnections > 0 && timers.nowMs() < deadlineMs) {
		await timers.sleep(pollMs);
	}
}
