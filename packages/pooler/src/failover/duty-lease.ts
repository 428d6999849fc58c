import {type Platform, type TimerService} from '@dogwoodthread/coordination';
import * as z from 'zod';
import {type ContinuityClock} from '../group/index.js';
import {type EventLog} from '../observability/index.js';

export type DutyLeaseOptions = {
	platform: Platform;
	timers: TimerService;
	clock: ContinuityClock;
	events: EventLog;
	hostId: string;
};

/** Right to perform the duty, with the token that orders its holders. */
export type HeldLease = {
	readonly fencingToken: number;
	/** Whether the lease still has `forMs` to run. A suspension of the process ends it. */
	isValid(forMs?: number): boolean;
	release(): Promise<void>;
};

const leaseSchema = z.object({holder: z.string(), fencingToken: z.number().int().nonnegative(), changeId: z.string()});

/** Longest time that a holder may act without asking again, in ms; a promotion takes about half of it. */
const leaseMs = 4000;
/** Others take over only after this further time, in ms, since their view of the lease is older than the holder's. */
const takeoverMarginMs = 1000;

/** The duty of ordering promotions, held by one host at a time and agreed at the platform's store. */
export class DutyLease {
	/** Another holder's lease as this host first saw it. */
	#observed: {version: number; sinceMs: number; epoch: number} | undefined;
	#changes = 0;

	constructor(private readonly options: DutyLeaseOptions) {}

	async acquire(): Promise<HeldLease | undefined> {
		const {platform, timers, clock, hostId} = this.options;
		const current = await platform.get('duties', 'promotion');
		if (current.isErr() && current.error.kind !== 'not-found') {
			return undefined;
		}

		const version = current.isOk() ? current.value.version : 0;
		const parsed = leaseSchema.safeParse(current.isOk() ? current.value.value : undefined);
		const lease = parsed.success ? parsed.data : undefined;
		if (lease && lease.holder !== '' && lease.holder !== hostId && !this.#hasExpired(version)) {
			return undefined;
		}

		const fencingToken = (lease?.fencingToken ?? 0) + 1;
		this.#changes += 1;
		const changeId = `${hostId}/${timers.wallClockMs()}/${this.#changes}`;
		const epoch = clock.epoch();
		const acquiredAtMs = timers.nowMs();
		const written = await platform.put('duties', 'promotion', {holder: hostId, fencingToken, changeId}, version);
		const heldVersion = written.isOk() ? written.value : await this.#resolve(written.error.outcomeKnown, changeId);
		return heldVersion === undefined
			? undefined
			: this.#hold({
				fencingToken, version: heldVersion, acquiredAtMs, epoch, changeId,
			});
	}

	/** A write without an answer may have taken effect; the change id tells. */
	async #resolve(outcomeKnown: boolean, changeId: string): Promise<number | undefined> {
		if (outcomeKnown) {
			return undefined;
		}

		const current = await this.options.platform.get('duties', 'promotion');
		const parsed = current.map(({value}) => leaseSchema.safeParse(value));
		return current.isOk() && parsed.isOk() && parsed.value.data?.changeId === changeId ? current.value.version : undefined;
	}

	#hasExpired(version: number): boolean {
		const {timers, clock} = this.options;
		const epoch = clock.epoch();
		if (this.#observed?.version !== version || this.#observed.epoch !== epoch) {
			this.#observed = {version, sinceMs: timers.nowMs(), epoch};
			return false;
		}

		return timers.nowMs() - this.#observed.sinceMs > leaseMs + takeoverMarginMs;
	}

	#hold({fencingToken, version, acquiredAtMs, epoch, changeId}: {fencingToken: number; version: number; acquiredAtMs: number; epoch: number; changeId: string}): HeldLease {
		const {platform, timers, clock, events, hostId} = this.options;
		events.write('lease-acquired', {duty: 'promotion', fencingToken, holder: hostId});
		return {
			fencingToken,
			isValid: (forMs = 0) => clock.epoch() === epoch && timers.nowMs() + forMs < acquiredAtMs + leaseMs,
			async release() {
				const released = await platform.put('duties', 'promotion', {holder: '', fencingToken, changeId}, version);
				events.write('lease-released', {duty: 'promotion', fencingToken, outcome: released.isOk() ? 'released' : released.error.kind});
			},
		};
	}
}
