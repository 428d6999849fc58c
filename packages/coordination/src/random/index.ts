/** Injectable source of random numbers, and random selection. */
export {sample, shuffle, type RandomSource} from './domain/random.js';
