import {type LogPosition, type TimerService} from '@dogwoodthread/coordination';

export type DepartedFloorOptions = {
	timers: TimerService;
	/** Position that members which are gone may have acknowledged; undefined if the store does not answer. */
	read: () => Promise<LogPosition | undefined>;
};

/** Interval between attempts to read the floor at the store, in ms; a departure is noted there within 100 ms. */
const readIntervalMs = 1000;

/** What members that are gone may have acknowledged: no log that ends before it holds every acknowledged commit. */
export class DepartedFloor {
	#position: LogPosition | undefined;
	#readAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: DepartedFloorOptions) {}

	/** Undefined while it is not known. */
	get position(): LogPosition | undefined {
		return this.#position;
	}

	set(position: LogPosition): void {
		this.#position = position;
	}

	forget(): void {
		this.#position = undefined;
	}

	/** Reads it at the store unless it is known or was asked for a moment ago. */
	async readIfUnknown(): Promise<void> {
		const nowMs = this.options.timers.nowMs();
		const isDue = nowMs - this.#readAtMs > readIntervalMs;
		if (this.#position !== undefined || !isDue) {
			return;
		}

		this.#readAtMs = nowMs;
		const position = await this.options.read();
		this.#position ??= position;
	}
}
