import {type Platform, type TimerService} from '@dogwoodthread/coordination';
import * as z from 'zod';
import {type EventLog} from '../observability/index.js';

export type FleetOptions = {
	platform: Platform;
	timers: TimerService;
	events: EventLog;
	self: FleetHost;
	/** Told after each reading of the list. */
	onRefresh?: () => void;
};

/** A host that runs this program. */
export type FleetHost = {
	hostId: string;
	/** `ip:port` for other hosts. */
	address: string;
	failureDomain: string;
	/** Start of the process, Unix time in ms. */
	startedAtMs: number;
};

const hostSchema = z.object({
	hostId: z.string(), address: z.string(), failureDomain: z.string(), startedAtMs: z.number(),
});

/** Interval at which a host confirms its entry, in ms. */
const heartbeatMs = 20_000;
/** Interval at which the list is read, in ms; the calls are cheap since they may be stale. */
const refreshMs = 5000;
/** Reads right after the start, in ms, since the hosts of a fleet start together. */
const earlyRefreshesMs = [700, 2500];
/** An entry that was not confirmed for this long belongs to a host that is gone, in ms. */
const goneAfterMs = 50_000;
const retryMs = 500;
/** Nothing at the store expires by itself, so an entry without confirmation for this long is taken out, in ms. */
const removeAfterMs = 150_000;

/** The hosts of the system, from their entries at the platform's store. */
export class Fleet {
	/** Each entry's version and when this host first saw that version. */
	readonly #seen = new Map<string, {version: number; sinceMs: number; host: FleetHost}>();
	#version = 0;
	#stopped = false;
	#isLoaded = false;

	constructor(private readonly options: FleetOptions) {}

	/** Whether the list was read at least once. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/** Hosts that are taken to be alive. */
	get hosts(): readonly FleetHost[] {
		const nowMs = this.options.timers.nowMs();
		return [...this.#seen.values()].filter(({sinceMs}) => nowMs - sinceMs < goneAfterMs).map(({host}) => host);
	}

	start(): void {
		void this.#enter();
		for (const delayMs of earlyRefreshesMs) {
			this.options.timers.after(delayMs, () => {
				void this.#refresh();
			});
		}

		this.options.timers.every(refreshMs, () => {
			void this.#refresh();
		});
	}

	/** Takes the own entry out, so that the others may use its connections. */
	async leave(): Promise<void> {
		this.#stopped = true;
		await this.options.platform.remove('hosts', this.options.self.hostId, this.#version);
	}

	async #enter(): Promise<void> {
		await this.#beat();
		await this.#refresh();
	}

	async #beat(): Promise<void> {
		if (this.#stopped) {
			return;
		}

		const {platform, timers, self} = this.options;
		const written = await platform.put('hosts', self.hostId, {...self, confirmedAtMs: timers.wallClockMs()}, this.#version);
		let delayMs = heartbeatMs;
		if (written.isOk()) {
			this.#version = written.value;
		} else {
			delayMs = retryMs;
			const current = await platform.get('hosts', self.hostId);
			this.#version = current.isOk() ? current.value.version : 0;
		}

		timers.after(delayMs, () => {
			void this.#beat();
		});
	}

	/** The version keeps a host that came back meanwhile from losing its entry. */
	#removeAbandoned(nowMs: number): void {
		const abandoned = [...this.#seen].filter(([, {sinceMs}]) => nowMs - sinceMs > removeAfterMs);
		for (const [name, {version}] of abandoned) {
			void this.options.platform.remove('hosts', name, version);
		}
	}

	#retryUntilLoaded(): void {
		if (!this.#isLoaded) {
			this.options.timers.after(retryMs, () => {
				void this.#refresh();
			});
		}
	}

	async #refresh(): Promise<void> {
		if (this.#stopped) {
			return;
		}

		const listed = await this.options.platform.list('hosts', {allowStale: true});
		if (listed.isErr()) {
			// The list in force stays; the store's client logs the failure.
			this.#retryUntilLoaded();
			return;
		}

		this.#isLoaded = true;
		const nowMs = this.options.timers.nowMs();
		const names = new Set(listed.value.objects.map(({name}) => name));
		for (const {name, version, value} of listed.value.objects) {
			const parsed = hostSchema.safeParse(value);
			if (parsed.success && this.#seen.get(name)?.version !== version) {
				if (!this.#seen.has(name)) {
					this.options.events.write('host-appeared', {peerId: name, address: parsed.data.address, version});
				}

				this.#seen.set(name, {version, sinceMs: nowMs, host: parsed.data});
			}
		}

		for (const name of this.#seen.keys()) {
			if (!names.has(name)) {
				this.#seen.delete(name);
				this.options.events.write('host-gone', {peerId: name});
			}
		}

		this.#removeAbandoned(nowMs);
		this.options.onRefresh?.();
	}
}
