import {type TimerService} from '@dogwoodthread/coordination';
import {type EventLog} from '../observability/index.js';

/** The operations of the client listener that a shutdown needs. */
export type ClientConnections = {
	readonly openConnections: number;
	/** Number of statements that are being executed. */
	readonly runningStatements: number;
	/** Closes idle connections, and each other connection once its operation has finished. */
	closeWhenIdle(): void;
	/** Rolls back open transactions that are between two statements. */
	abortIdleTransactions(): void;
	/** Answers every statement that has arrived: refuses what has not started, and ends what runs with its outcome in doubt. */
	answerRemaining(): Promise<void>;
	/** Stops listening and closes the remaining connections. */
	stop(): void;
};

export type ShutDownOptions = {
	/** `beginShutdown` stops duties and releases this host's connections to other hosts; statements in progress continue. */
	pooler: {beginShutdown(): Promise<void>; stop(): void};
	clients: ClientConnections;
	timers: TimerService;
	events: EventLog;
	/** Time between SIGTERM and the kill of the process, in ms. */
	graceMs: number;
};

/**
 * Parts of a shutdown, in order: connections still arrive; idle connections close and transactions may end; running
 * statements end; what remains is answered.
 */
type StopStage = 'load-balancer-removal' | 'idle-connections' | 'running-statements' | 'last-answers';

/** The load balancer checks once a second and removes a host after two failures, so it sends no new connections after this time. */
export const loadBalancerRemovalMs = 2200;
/** Fraction of the grace period in which open transactions may end by themselves. */
const transactionGraceFraction = 0.5;
/** The remaining statements are answered, and the process exits, this long before the end of the grace period. */
const exitMarginMs = 700;
const pollIntervalMs = 20;

/**
 * Shuts down gracefully: waits until the load balancer sends no new connections, then closes each connection once it
 * is idle, so that no request is interrupted.
 */
export async function shutDown({pooler, clients, timers, events, graceMs}: ShutDownOptions): Promise<void> {
	const startedAtMs = timers.nowMs();
	events.write('process-stopping', {openConnections: clients.openConnections, graceMs});
	const deregistration = pooler.beginShutdown();
	const endStage = (stage: StopStage) => {
		events.write('stop-stage-ended', {
			stage, openConnections: clients.openConnections, runningStatements: clients.runningStatements, sinceSignalMs: Math.round(timers.nowMs() - startedAtMs),
		});
	};

	await timers.sleep(loadBalancerRemovalMs);
	endStage('load-balancer-removal');
	clients.closeWhenIdle();
	await waitUntilClosed(clients, timers, startedAtMs + (graceMs * transactionGraceFraction));
	endStage('idle-connections');
	clients.abortIdleTransactions();
	clients.closeWhenIdle();
	await waitUntilClosed(clients, timers, startedAtMs + graceMs - exitMarginMs);
	endStage('running-statements');
	await clients.answerRemaining();
	endStage('last-answers');
	events.write('process-stopped', {openConnections: clients.openConnections, durationMs: Math.round(timers.nowMs() - startedAtMs)});
	clients.stop();
	pooler.stop();
	await Promise.race([deregistration, timers.sleep(pollIntervalMs)]);
}

async function waitUntilClosed(clients: ClientConnections, timers: TimerService, deadlineMs: number): Promise<void> {
	while (clients.openConnections > 0 && timers.nowMs() < deadlineMs) {
		await timers.sleep(pollIntervalMs);
	}
}
