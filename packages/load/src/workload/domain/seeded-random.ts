import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const fractionSteps = 1_000_000;

/** Random numbers that are the same for the same seed. */
export class SeededRandom {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** From `from` to `to`, both included. */
	int(from: number, to: number): number {
		return uniformInt(this.#generator, from, to);
	}

	/** At least 0 and below 1. */
	fraction(): number {
		return this.int(0, fractionSteps - 1) / fractionSteps;
	}

	/** Undefined only for an empty list. */
	pick<T>(items: readonly T[]): T | undefined {
		return items.length === 0 ? undefined : items[this.int(0, items.length - 1)];
	}

	/** Time to the next arrival of a Poisson process, in ms. */
	arrivalGapMs(ratePerSecond: number): number {
		return -Math.log(1 - this.fraction()) * 1000 / ratePerSecond;
	}

	/** A source of its own for a part, so that parts do not disturb each other's numbers. */
	fork(): SeededRandom {
		return new SeededRandom(this.int(0, 0x7F_FF_FF_FF));
	}
}
