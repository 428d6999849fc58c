import {
	type Platform, type PlatformObject, type RandomSource, type TimerService, type TimerSubscription,
} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {type EventLog, guardTask} from '../observability/index.js';
import {splitStoreVersion, type StoreHistory, versionFields} from '../store-history/index.js';

export type FleetOptions = {
	platform: Platform;
	history: StoreHistory;
	timers: TimerService;
	events: EventLog;
	random: RandomSource;
	self: FleetHost;
	/** Called after each successful read of the host list. */
	onRefresh?: () => void;
};

/** A host that runs the pooler, as registered at the store. */
export type FleetHost = {
	hostId: string;
	/** `ip:port` at which other hosts connect. */
	address: string;
	failureDomain: string;
	/** Start time of the process, Unix time in ms. */
	startedAtMs: number;
};

type FleetEntry = {
	version: number;
	/** When this host first saw that version, in monotonic ms. A version that only a restore of the store has brought does not count. */
	versionSeenAtMs: number;
	/** When the host wrote the entry, Unix time in ms by its own clock. */
	confirmedAtMs: number;
	host: FleetHost;
};

const maxPort = 65_535;
const addressSchema = z.string().max(256).regex(/^[^:\s]+:\d{1,5}$/).refine(address => {
	const port = Number(address.slice(address.lastIndexOf(':') + 1));
	return port >= 1 && port <= maxPort;
}, 'expected ip:port');
/** Also part of paths and logs, so it has no control characters. */
const hostIdSchema = z.string().regex(/^[^\p{Cc}\p{Cs}]{1,256}$/u);
const hostSchema = z.object({
	hostId: hostIdSchema, address: addressSchema, failureDomain: z.string().max(256), startedAtMs: z.number().nonnegative(), confirmedAtMs: z.number().default(0),
});

/** Decodes the entry that a host wrote under its own name; an error says why no host can have written it. */
function decodeEntry(name: string, value: unknown): Result<z.infer<typeof hostSchema>, string> {
	const {data, error} = hostSchema.safeParse(value);
	if (error) {
		const [first] = error.issues;
		return err(`${first!.path.join('.')}: ${first!.message}`);
	}

	return data.hostId === name ? ok(data) : err('hostId: expected the name of the object');
}

/** Interval at which a host rewrites its own entry. */
const heartbeatIntervalMs = 20_000;
/** Interval between reads of the host list. Reads are cheap because they allow stale results. */
const refreshIntervalMs = 5000;
/** Additional reads after the start, because the hosts of a fleet start at about the same time. */
const startupRefreshDelaysMs = [700, 2500];
/** A host whose entry has not been rewritten for this long is considered down. */
const livenessTimeoutMs = 50_000;
const retryDelayMs = 500;
/** Hosts register again after a restore of the store within this time, in ms, spread to limit the rate of writes. */
const maxRegistrationDelayMs = 1000;
/** Entries that are missing after a restore of the store count as up for this long, in ms, since their hosts register again. */
const registrationGraceMs = 10_000;
/** After a restore of the store, lists that may be stale are not used for this long, in ms: they may precede the restore. */
const staleListTimeoutMs = 30_000;
/** Entries that have not been rewritten for this long are removed, because entries at the store do not expire. */
const entryRemovalTimeoutMs = 150_000;
/** The last entries of hosts that have left are kept for this long, in ms; the backups of the store are some seconds old. */
const departedRetentionMs = 600_000;

/** Service discovery: the hosts of the deployment, from the entries that they write to the platform's store. */
export class Fleet {
	/** The latest version of each entry, by host. */
	readonly #entries = new Map<string, FleetEntry>();
	/** The last entry of each host that has left. A restored store may show it, or an earlier one, again. */
	readonly #departed = new Map<string, FleetEntry>();
	/** Versions of the listed entries that no host can have written, by name. Each is logged once. */
	#rejected = new Map<string, number>();
	#heartbeatTimer: TimerSubscription | undefined;
	#ownVersion = 0;
	/** Revision of the store that the newest applied list shows. */
	#revision = 0;
	#isStopped = false;
	#isLoaded = false;

	constructor(private readonly options: FleetOptions) {}

	/** Whether the host list has been read at least once. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Hosts that are considered up. */
	get hosts(): readonly FleetHost[] {
		const nowMs = this.options.timers.nowMs();
		return [...this.#entries.values()].filter(({versionSeenAtMs}) => nowMs - versionSeenAtMs < livenessTimeoutMs).map(({host}) => host);
	}

	start(): void {
		this.#guard(async () => this.#register());
		this.options.history.subscribe(() => {
			this.#scheduleHeartbeat(this.options.random() * maxRegistrationDelayMs);
		});
		for (const delayMs of startupRefreshDelaysMs) {
			this.options.timers.after(delayMs, () => {
				this.#guard(async () => this.#refresh());
			});
		}

		this.options.timers.every(refreshIntervalMs, () => {
			this.#guard(async () => this.#refresh());
		});
	}

	/** Removes this host's entry, so that the other hosts may use its share of the connections. */
	async deregister(): Promise<void> {
		this.#isStopped = true;
		this.#heartbeatTimer?.cancel();
		const {platform, self} = this.options;
		const removed = await platform.remove('hosts', self.hostId, this.#ownVersion);
		if (removed.isErr() && removed.error.kind === 'conflict') {
			// The entry has another version since the store was restored, or since a write whose answer was lost.
			const current = await platform.get('hosts', self.hostId);
			if (current.isOk() && hostSchema.safeParse(current.value.value).data?.startedAtMs === self.startedAtMs) {
				await platform.remove('hosts', self.hostId, current.value.version);
			}
		}
	}

	#guard(run: () => Promise<void>): void {
		void guardTask('fleet', this.options.events, run);
	}

	async #register(): Promise<void> {
		await this.#sendHeartbeat();
		await this.#refresh();
	}

	async #sendHeartbeat(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		const {platform, timers, self} = this.options;
		const putResult = await platform.put('hosts', self.hostId, {...self, confirmedAtMs: timers.wallClockMs()}, this.#ownVersion);
		let delayMs = heartbeatIntervalMs;
		if (putResult.isOk()) {
			this.#ownVersion = putResult.value;
		} else {
			delayMs = retryDelayMs;
			const current = await platform.get('hosts', self.hostId);
			this.#ownVersion = current.isOk() ? current.value.version : 0;
		}

		this.#scheduleHeartbeat(delayMs);
	}

	#scheduleHeartbeat(delayMs: number): void {
		this.#heartbeatTimer?.cancel();
		if (!this.#isStopped) {
			this.#heartbeatTimer = this.options.timers.after(delayMs, () => {
				this.#guard(async () => this.#sendHeartbeat());
			});
		}
	}

	/** Removes by version, so that a host that has returned in the meantime keeps its entry. */
	#removeStaleEntries(nowMs: number): void {
		const staleEntries = [...this.#entries].filter(([, {versionSeenAtMs}]) => nowMs - versionSeenAtMs > entryRemovalTimeoutMs);
		for (const [name, {version}] of staleEntries) {
			void this.options.platform.remove('hosts', name, version);
		}
	}

	#retryUntilLoaded(): void {
		if (!this.#isLoaded) {
			this.options.timers.after(retryDelayMs, () => {
				this.#guard(async () => this.#refresh());
			});
		}
	}

	async #refresh(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		// A stale list may still show hosts that have left, so the first one must be current.
		const {platform, history, timers} = this.options;
		const allowStale = this.#isLoaded && !history.isRecentlyRestored(staleListTimeoutMs, timers.nowMs());
		const listed = await platform.list('hosts', {allowStale});
		if (listed.isErr()) {
			// Keeps the current list; the store client logs the failure.
			this.#retryUntilLoaded();
			return;
		}

		if (listed.value.revision < this.#revision) {
			// Another copy of the store was behind: it would bring back hosts that have left and hide new ones.
			return;
		}

		this.#isLoaded = true;
		this.#revision = listed.value.revision;
		const nowMs = timers.nowMs();
		const previouslyRejected = this.#rejected;
		this.#rejected = new Map();
		const listedNames = listed.value.objects.flatMap(object => this.#applyEntry(object, nowMs, previouslyRejected) ? [object.name] : []);
		this.#removeMissing(new Set(listedNames), nowMs);
		this.#removeStaleEntries(nowMs);
		this.options.onRefresh?.();
	}

	/**
	 * Returns false for an entry of a host that has left, which a restore of the store has brought back. An entry that
	 * another writer has made invalid stands for its host until that one is due to have written it again.
	 */
	#applyEntry({name, version, value}: PlatformObject, nowMs: number, previouslyRejected: ReadonlyMap<string, number>): boolean {
		const entry = decodeEntry(name, value);
		if (entry.isErr()) {
			this.#rejected.set(name, version);
			if (previouslyRejected.get(name) !== version) {
				this.options.events.write('host-entry-rejected', {peerId: name, ...versionFields(version), reason: entry.error});
			}

			return true;
		}

		const {confirmedAtMs, ...host} = entry.value;
		const departed = this.#departed.get(name);
		if (departed?.host.startedAtMs === host.startedAtMs && confirmedAtMs <= departed.confirmedAtMs) {
			this.options.events.write('host-gone', {peerId: name, reason: 'left before the store was restored'});
			void this.options.platform.remove('hosts', name, version);
			return false;
		}

		const known = this.#entries.get(name);
		if (known?.version !== version) {
			if (!known) {
				this.options.events.write('host-appeared', {peerId: name, address: host.address, ...versionFields(version)});
			}

			const isRewritten = !known
				|| splitStoreVersion(known.version).generation === splitStoreVersion(version).generation
				|| known.host.startedAtMs !== host.startedAtMs
				|| known.confirmedAtMs < confirmedAtMs;
			this.#entries.set(name, {
				version, versionSeenAtMs: isRewritten ? nowMs : known.versionSeenAtMs, confirmedAtMs, host,
			});
		}

		return true;
	}

	/** Removes the hosts without an entry. An entry of an earlier generation of the store may have been lost by a restore. */
	#removeMissing(listedNames: ReadonlySet<string>, nowMs: number): void {
		const {history, events} = this.options;
		const missing = [...this.#entries].filter(([name]) => !listedNames.has(name));
		for (const [name, entry] of missing) {
			const isLeaving = splitStoreVersion(entry.version).generation === history.generation;
			if (isLeaving || history.isOlderThan(registrationGraceMs, nowMs)) {
				this.#entries.delete(name);
				this.#departed.set(name, entry);
				events.write('host-gone', {peerId: name});
			}
		}

		for (const [name, {versionSeenAtMs}] of this.#departed) {
			if (nowMs - versionSeenAtMs > departedRetentionMs) {
				this.#departed.delete(name);
			}
		}
	}
}
