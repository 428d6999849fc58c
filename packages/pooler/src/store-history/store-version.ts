/** Range of the numbers that can be issued within one generation of the store. */
const numbersPerGeneration = 2 ** 40;

/**
 * A number issued within one generation of the store, combined with that generation. The store's own revisions repeat
 * after a restore, while versions of a later generation are higher than all earlier ones.
 */
export const toStoreVersion = (generation: number, number: number): number => (generation * numbersPerGeneration) + number;

export const splitStoreVersion = (version: number): {generation: number; number: number} =>
	({generation: Math.floor(version / numbersPerGeneration), number: version % numbersPerGeneration});

/** A version as fields of a log line. */
export function versionFields(version: number): {revision: number; storeGeneration: number} {
	const {generation, number} = splitStoreVersion(version);
	return {revision: number, storeGeneration: generation};
}
