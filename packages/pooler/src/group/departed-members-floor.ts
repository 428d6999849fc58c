import {type LogPosition, type TimerService} from '@dogwoodthread/coordination';

export type DepartedMembersFloorOptions = {
	timers: TimerService;
	/** Reads the highest position that departed members may have acknowledged; undefined if the store does not answer. */
	read: () => Promise<LogPosition | undefined>;
};

/** Minimum interval between reads of the floor from the store, in ms. A departure is recorded there within 100 ms. */
const minReadIntervalMs = 1000;

/**
 * Highest position that departed members may have acknowledged. A log that ends before it may lack acknowledged
 * commits.
 */
export class DepartedMembersFloor {
	#position: LogPosition | undefined;
	#lastReadAtMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: DepartedMembersFloorOptions) {}

	/** Undefined while the floor is not known. */
	get position(): LogPosition | undefined {
		return this.#position;
	}

	set(position: LogPosition): void {
		this.#position = position;
	}

	invalidate(): void {
		this.#position = undefined;
	}

	/** Reads the floor from the store, unless it is known or was requested within the minimum interval. */
	async readIfUnknown(): Promise<void> {
		const nowMs = this.options.timers.nowMs();
		const isDue = nowMs - this.#lastReadAtMs > minReadIntervalMs;
		if (this.#position !== undefined || !isDue) {
			return;
		}

		this.#lastReadAtMs = nowMs;
		const position = await this.options.read();
		this.#position ??= position;
	}
}
