import {type RandomSource} from '@dogwoodthread/coordination';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export const seededRandom = (seed: number): RandomSource => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};
