import {type Platform, type TimerService} from '@dogwoodthread/coordination';
import * as z from 'zod';
import {type EventLog, guardTask} from '../observability/index.js';
import {versionFields} from '../store-history/index.js';

export type FleetOptions = {
	platform: Platform;
	timers: TimerService;
	events: EventLog;
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

const maxPort = 65_535;
const addressSchema = z.string().regex(/^[^:\s]+:\d{1,5}$/).refine(address => Number(address.slice(address.lastIndexOf(':') + 1)) <= maxPort);
const hostSchema = z.object({
	hostId: z.string(), address: addressSchema, failureDomain: z.string(), startedAtMs: z.number(),
});

/** Interval at which a host rewrites its own entry. */
const heartbeatIntervalMs = 20_000;
/** Interval between reads of the host list. Reads are cheap because they allow stale results. */
const refreshIntervalMs = 5000;
/** Additional reads after the start, because the hosts of a fleet start at about the same time. */
const startupRefreshDelaysMs = [700, 2500];
/** A host whose entry has not been rewritten for this long is considered down. */
const livenessTimeoutMs = 50_000;
const retryDelayMs = 500;
/** Entries that have not been rewritten for this long are removed, because entries at the store do not expire. */
const entryRemovalTimeoutMs = 150_000;

/** Service discovery: the hosts of the deployment, from the entries that they write to the platform's store. */
export class Fleet {
	/** The latest version of each entry, and when this host first saw that version. */
	readonly #entries = new Map<string, {version: number; versionSeenAtMs: number; host: FleetHost}>();
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
		await this.options.platform.remove('hosts', this.options.self.hostId, this.#ownVersion);
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

		timers.after(delayMs, () => {
			this.#guard(async () => this.#sendHeartbeat());
		});
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
		const listed = await this.options.platform.list('hosts', {allowStale: this.#isLoaded});
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
		const nowMs = this.options.timers.nowMs();
		const names = new Set(listed.value.objects.map(({name}) => name));
		for (const {name, version, value} of listed.value.objects) {
			const parsed = hostSchema.safeParse(value);
			if (parsed.success && this.#entries.get(name)?.version !== version) {
				if (!this.#entries.has(name)) {
					this.options.events.write('host-appeared', {peerId: name, address: parsed.data.address, ...versionFields(version)});
				}

				this.#entries.set(name, {version, versionSeenAtMs: nowMs, host: parsed.data});
			}
		}

		for (const name of this.#entries.keys()) {
			if (!names.has(name)) {
				this.#entries.delete(name);
				this.options.events.write('host-gone', {peerId: name});
			}
		}

		this.#removeStaleEntries(nowMs);
		this.options.onRefresh?.();
	}
}
