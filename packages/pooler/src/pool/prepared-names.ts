/** Largest number of statements that stay prepared on one connection. */
const maxNames = 256;
/** Largest total length of the shapes that stay prepared on one connection, in characters. The endpoint keeps them. */
const maxShapeLength = 262_144;

/**
 * Names of the statements that are prepared on a connection, the least recently used first. They are bounded, because
 * clients may prepare new shapes without end and a connection outlives its users. A shape over the limit is kept alone.
 */
export class PreparedNames {
	readonly #shapeLengths = new Map<string, number>();
	#totalLength = 0;

	has(name: string): boolean {
		return this.#shapeLengths.has(name);
	}

	/** Names to deallocate at the endpoint before a shape of this length is prepared. */
	namesToDeallocate(shapeLength: number): string[] {
		const names = [...this.#shapeLengths.keys()];
		let remaining = this.#totalLength;
		return names.filter((name, index) => {
			const isOver = names.length - index >= maxNames || remaining + shapeLength > maxShapeLength;
			remaining -= isOver ? this.#shapeLengths.get(name)! : 0;
			return isOver;
		});
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
}
