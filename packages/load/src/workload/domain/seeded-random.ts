import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const fractionResolution = 1_000_000;

/** Random number generator with a reproducible sequence for each seed. */
export class SeededRandom {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Integer between `from` and `to`, both inclusive. */
	int(from: number, to: number): number {
		return uniformInt(this.#generator, from, to);
	}

	/** Number between 0 (inclusive) and 1 (exclusive). */
	fraction(): number {
		return this.int(0, fractionResolution - 1) / fractionResolution;
	}

	/** Random element; undefined only for an empty list. */
	pick<T>(items: readonly T[]): T | undefined {
		return items.length === 0 ? undefined : items[this.int(0, items.length - 1)];
	}

	/** Time to the next arrival of a Poisson process, in ms. */
	arrivalGapMs(ratePerSecond: number): number {
		return -Math.log(1 - this.fraction()) * 1000 / ratePerSecond;
	}

	/** Creates an independent generator for one component, so that components do not affect each other's sequences. */
	fork(): SeededRandom {
		return new SeededRandom(this.int(0, 0x7F_FF_FF_FF));
	}
}
