import {type Platform, type TimerService} from '@dogwoodthread/coordination';
import * as z from 'zod';
import {type ClockDiscontinuityDetector} from '../group/index.js';
import {type EventLog} from '../observability/index.js';
import {type StoreHistory, toStoreVersion, versionFields} from '../store-history/index.js';

export type PromotionLeaseOptions = {
	platform: Platform;
	history: StoreHistory;
	timers: TimerService;
	clock: ClockDiscontinuityDetector;
	events: EventLog;
	hostId: string;
};

/** The lease while this host holds it, with the fencing token that orders successive holders. */
export type HeldLease = {
	readonly fencingToken: number;
	/** Whether the lease stays valid for at least `remainingMs`. A suspension of the process ends it. */
	isValid(remainingMs?: number): boolean;
	release(): Promise<void>;
};

const leaseSchema = z.object({
	holder: z.string(),
	fencingToken: z.number().int().nonnegative(),
	changeId: z.string(),
	/** Generation of the store in which the lease was acquired. */
	generation: z.number().int().nonnegative().default(0),
});

type AcquiredLease = {fencingToken: number; version: number; acquiredAtMs: number; epoch: number; changeId: string; generation: number};

/** Time for which a holder may act on one acquisition, in ms. A promotion takes about half of it. */
export const leaseDurationMs = 4000;
/** Additional time before another host takes over an expired lease, in ms, since its view of the lease may be older than the holder's. */
const takeoverMarginMs = 1000;
/** After this time, in ms, every lease that a host can have acquired before a restore of the store has expired. */
export const leaseExpiryMs = leaseDurationMs + takeoverMarginMs;

/** Lease on the right to order promotions. One host holds it at a time; it is kept in the platform's store. */
export class PromotionLease {
	/** Another host's lease, and when this host first saw that version of it. */
	#observedLease: {version: number; sinceMs: number; epoch: number} | undefined;
	#changeCount = 0;

	constructor(private readonly options: PromotionLeaseOptions) {}

	async acquire(): Promise<HeldLease | undefined> {
		const {platform, history, timers, clock, hostId} = this.options;
		const current = await platform.get('duties', 'promotion');
		if (current.isErr() && current.error.kind !== 'not-found') {
			return undefined;
		}

		const {generation} = history;
		const version = current.isOk() ? current.value.version : 0;
		const parsed = current.isOk() ? leaseSchema.safeParse(current.value.value) : undefined;
		const lease = parsed?.data;
		const isAvailable = parsed?.error ? this.#mayReplaceRejected(parsed.error, version) : this.#isAvailable(lease, version);
		if (!isAvailable) {
			return undefined;
		}

		// Tokens of a later generation are higher than all earlier ones, which the store may have lost. Without a readable
		// token the version takes its place: no token is above it, since each one was written with a version of its own.
		const lastToken = lease?.fencingToken ?? version;
		const fencingToken = Math.max(lastToken, toStoreVersion(generation, 0)) + 1;
		this.#changeCount += 1;
		const changeId = `${hostId}/${timers.wallClockMs()}/${this.#changeCount}`;
		const epoch = clock.epoch();
		const acquiredAtMs = timers.nowMs();
		const written = await platform.put('duties', 'promotion', {
			holder: hostId, fencingToken, changeId, generation,
		}, version);
		const heldVersion = written.isOk() ? written.value : await this.#resolveWrite(written.error.outcomeKnown, changeId);
		return heldVersion === undefined || history.generation !== generation
			? undefined
			: this.#createHeldLease({
				fencingToken, version: heldVersion, acquiredAtMs, epoch, changeId, generation,
			});
	}

	/** Reads the lease without taking it: one that another host holds expires by the time since this host first saw it. */
	async observe(): Promise<void> {
		const current = await this.options.platform.get('duties', 'promotion');
		if (current.isOk()) {
			this.#isAvailable(leaseSchema.safeParse(current.value.value).data, current.value.version);
		}
	}

	/**
	 * Takes the lease and releases it at once if the store has none of its current generation, so that the next
	 * promotion need not wait. Returns whether the store has one.
	 */
	async renewAfterRestore(): Promise<boolean> {
		const {platform, history} = this.options;
		const current = await platform.get('duties', 'promotion');
		if (current.isOk() && leaseSchema.safeParse(current.value.value).data?.generation === history.generation) {
			return true;
		}

		const held = await this.acquire();
		await held?.release();
		return held !== undefined;
	}

	/**
	 * Whether this host may take the lease. One that was acquired before the store was restored may be lost while its
	 * holder still acts on it, so without a lease of the current generation the longest possible one is waited for.
	 */
	#isAvailable(lease: z.infer<typeof leaseSchema> | undefined, version: number): boolean {
		const {history, timers, hostId} = this.options;
		if (lease?.generation !== history.generation) {
			return history.isOlderThan(leaseExpiryMs, timers.nowMs());
		}

		return lease.holder === '' || lease.holder === hostId || this.#hasExpired(version);
	}

	/** Whether a lease that another writer has made unreadable may be replaced: not while the holder that it had may still act. */
	#mayReplaceRejected({issues}: z.ZodError, version: number): boolean {
		const {history, timers, events} = this.options;
		if (this.#observedLease?.version !== version) {
			const reason = `${issues[0]!.path.join('.')}: ${issues[0]!.message}`;
			events.write('lease-rejected', {duty: 'promotion', ...versionFields(version), reason});
		}

		return this.#hasExpired(version) && history.isOlderThan(leaseExpiryMs, timers.nowMs());
	}

	/** Finds out by the change id whether a write without an answer took effect, and returns its version if so. */
	async #resolveWrite(outcomeKnown: boolean, changeId: string): Promise<number | undefined> {
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
		if (this.#observedLease?.version !== version || this.#observedLease.epoch !== epoch) {
			this.#observedLease = {version, sinceMs: timers.nowMs(), epoch};
			return false;
		}

		return timers.nowMs() - this.#observedLease.sinceMs > leaseExpiryMs;
	}

	#createHeldLease({fencingToken, version, acquiredAtMs, epoch, changeId, generation}: AcquiredLease): HeldLease {
		const {platform, timers, clock, events, hostId} = this.options;
		events.write('lease-acquired', {duty: 'promotion', fencingToken, holder: hostId});
		return {
			fencingToken,
			isValid: (remainingMs = 0) => clock.epoch() === epoch && timers.nowMs() + remainingMs < acquiredAtMs + leaseDurationMs,
			async release() {
				const released = await platform.put('duties', 'promotion', {
					holder: '', fencingToken, changeId, generation,
				}, version);
				events.write('lease-released', {duty: 'promotion', fencingToken, outcome: released.isOk() ? 'released' : released.error.kind});
			},
		};
	}
}
