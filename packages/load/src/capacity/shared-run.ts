import {type Measurement} from './definitions.js';

/** Takes several figures from one run for each size. */
export const shareRuns = <Outcome>(run: (size: number) => Promise<Outcome>): ((select: (outcome: Outcome) => number) => Measurement['measure']) => {
	const runs = new Map<number, Promise<Outcome>>();
	return select => async size => {
		const outcome = runs.get(size) ?? run(size);
		runs.set(size, outcome);
		return select(await outcome);
	};
};
