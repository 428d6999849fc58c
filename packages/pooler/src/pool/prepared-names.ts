/** Largest number of statements that stay prepared on one connection. */
const maxNames = 256;
/** Largest total length of the shapes that stay prepared beside a new one, in characters. The endpoint keeps them. */
const maxShapeLength = 262_144;

/**
 * Names of the statements that are prepared on a connection, the least recently used first. They are bounded, because
 * clients may prepare new shapes without end and a connection outlives its users.
 */
export class PreparedNames {
	readonly #shapeLengths = new Map<string, number>();
	#totalLength = 0;

	has(name: string): boolean {
		return this.#shapeLengths.has(name);
	}

	/**
	 * Names to deallocate at the endpoint before another statement is prepared, two at most: the least recently used one, and
	 * the longest one, which makes up for the shape that was added last.
	 */
	get namesToDeallocate(): string[] {
		const names = [...this.#shapeLengths.keys()];
		const leastUsed = names.length >= maxNames ? names.slice(0, 1) : [];
		const longest = this.#totalLength > maxShapeLength ? [this.#longestName] : [];
		return [...new Set([...leastUsed, ...longest])];
	}

	add(name: string, shapeLength: number): void {
		this.delete(name);
		this.#shapeLengths.set(name, shapeLength);
		this.#totalLength += shapeLength;
	}

	/** Records that the statement was used last. */
	touch(name: string): void {
		const shapeLength = this.#shapeLengths.get(name);
		if (shapeLength !== undefined) {
			this.#shapeLengths.delete(name);
			this.#shapeLengths.set(name, shapeLength);
		}
	}

	delete(name: string): void {
		this.#totalLength -= this.#shapeLengths.get(name) ?? 0;
		this.#shapeLengths.delete(name);
	}

	clear(): void {
		this.#shapeLengths.clear();
		this.#totalLength = 0;
	}

	get #longestName(): string {
		const [longest] = [...this.#shapeLengths].toSorted(([, length], [, otherLength]) => otherLength - length);
		return longest![0];
	}
}
