/** Returns uniformly distributed numbers in [0, 1). */
export type RandomSource = () => number;

/** Up to `count` distinct items in random order. */
export const sample = <Item>(items: readonly Item[], count: number, random: RandomSource): Item[] => {
	if (count >= items.length) {
		return shuffle(items, random);
	}

	const indexes = new Set<number>();
	while (indexes.size < count) {
		indexes.add(Math.floor(random() * items.length));
	}

	return [...indexes].map(index => items[index]!);
};

export const shuffle = <Item>(items: readonly Item[], random: RandomSource): Item[] => {
	const shuffled = [...items];
	for (let index = shuffled.length - 1; index > 0; index -= 1) {
		const otherIndex = Math.floor(random() * (index + 1));
		[shuffled[index], shuffled[otherIndex]] = [shuffled[otherIndex]!, shuffled[index]!];
	}

	return shuffled;
};
