import {type Member} from '../definitions.js';
import {suspicionTimeoutMs} from '../domain/settings.js';
import {type TimerSubscription} from '../../timer/index.js';
import {firedLate, type GossipContext} from './gossip-context.js';

/** Timeouts of suspect members. */
export class Suspicions {
	readonly #timers = new Map<string, TimerSubscription>();

	constructor(private readonly context: GossipContext, private readonly declareDead: (member: Member) => void) {}

	/** Follows a member's change: starts, continues or ends its timeout. */
	follow(member: Member, previous: Member | undefined): void {
		const sameSuspicion = previous?.state === 'suspect' && member.state === 'suspect'
			&& previous.startedUnixMs === member.startedUnixMs && previous.refutation === member.refutation;
		if (sameSuspicion) {
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
		const dueMs = timers.nowMs() + timeoutMs;
		this.#timers.set(hostId, timers.after(timeoutMs, () => {
			this.#timers.delete(hostId);
			if (firedLate(this.context, dueMs)) {
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
