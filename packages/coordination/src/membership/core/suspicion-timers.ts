import {type Member} from '../definitions.js';
import {suspicionTimeoutMs} from '../domain/settings.js';
import {type TimerSubscription} from '../../timer/index.js';
import {hasFiredLate, type GossipContext} from './gossip-context.js';

/** Suspicion timeouts: declares a member dead that stays suspect for the whole timeout. */
export class SuspicionTimers {
	readonly #timers = new Map<string, TimerSubscription>();

	constructor(private readonly context: GossipContext, private readonly declareDead: (member: Member) => void) {}

	/** Starts, keeps or cancels the timeout of a changed member. */
	handleMemberChange(member: Member, previous: Member | undefined): void {
		const isSameSuspicion = previous?.state === 'suspect' && member.state === 'suspect'
			&& previous.startedUnixMs === member.startedUnixMs && previous.refutation === member.refutation;
		if (isSameSuspicion) {
			return;
		}

		this.#cancel(member.hostId);
		if (member.state === 'suspect') {
			this.#start(member.hostId);
		}
	}

	stop(): void {
		for (const timer of this.#timers.values()) {
			timer.cancel();
		}

		this.#timers.clear();
	}

	#start(hostId: string): void {
		const {timers, settings, table} = this.context;
		const timeoutMs = suspicionTimeoutMs(settings, table.size);
		const dueAtMs = timers.nowMs() + timeoutMs;
		this.#timers.set(hostId, timers.after(timeoutMs, () => {
			this.#timers.delete(hostId);
			if (hasFiredLate(this.context, dueAtMs)) {
				this.#start(hostId);
				return;
			}

			const member = table.get(hostId);
			if (member?.state === 'suspect') {
				this.declareDead(member);
			}
		}));
	}

	#cancel(hostId: string): void {
		this.#timers.get(hostId)?.cancel();
		this.#timers.delete(hostId);
	}
}
