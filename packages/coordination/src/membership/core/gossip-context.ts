import {type TimerService} from '../../timer/index.js';
import {type DatagramTransport, type Member} from '../definitions.js';
import {type GossipCounters} from '../domain/counters.js';
import {type RandomSource} from '../../random/index.js';
import {type GossipSettings} from '../domain/settings.js';
import {type MemberTable} from './member-table.js';
import {type UpdateQueue} from './update-queue.js';

/** The subset of a logger that the failure detector uses; compatible with pino. */
export type GossipLogger = {
	info(fields: Record<string, unknown>, message: string): void;
	warn(fields: Record<string, unknown>, message: string): void;
};

/** State and dependencies shared by the components of one member's failure detector. */
export type GossipContext = {
	transport: DatagramTransport;
	timers: TimerService;
	random: RandomSource;
	settings: GossipSettings;
	logger: GossipLogger | undefined;
	table: MemberTable;
	queue: UpdateQueue;
	counters: GossipCounters;
	self(): Member;
	/** Age of the last confirmation that this member's document version is current. */
	documentConfirmedAgeMs(): number | undefined;
	isStopped(): boolean;
};

/**
 * Whether a timer fired so late that this process itself must have been paused or overloaded. Answers may then
 * still be unread in the socket, so their absence is no evidence of a failure.
 */
export const hasFiredLate = (context: GossipContext, dueAtMs: number): boolean =>
	context.timers.nowMs() - dueAtMs > context.settings.probeTimeoutMs;
