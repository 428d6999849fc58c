/** Random numbers as a port, and choices made with them. */
export {sample, shuffle, type RandomSource} from './domain/random.js';
