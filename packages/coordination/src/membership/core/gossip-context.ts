import {type TimerService} from '../../timer/index.js';
import {type DatagramTransport, type Member} from '../definitions.js';
import {type GossipCounters} from '../domain/counters.js';
import {type RandomSource} from '../../random/index.js';
import {type GossipSettings} from '../domain/settings.js';
import {type MemberTable} from './member-table.js';
import {type UpdateQueue} from './update-queue.js';

/** Log sink with the calls that are used here; a pino logger fits. */
export type GossipLogger = {
	info(fields: Record<string, unknown>, message: string): void;
	warn(fields: Record<string, unknown>, message: string): void;
};

/** What the parts of one member's failure detector share. */
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
 * Whether a timer fired so late that this process itself was paused or overloaded. Answers may then
 * wait unread in the socket, so nothing may be concluded from their absence.
 */
export const firedLate = (context: GossipContext, dueMs: number): boolean =>
	context.timers.nowMs() - dueMs > context.settings.probeTimeoutMs;
