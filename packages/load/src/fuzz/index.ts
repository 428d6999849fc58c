/** Seeded fuzz run of the `dogwood-pooler` daemon: generated text, any bytes and odd answers against running processes. */
export {fuzzPlayerNames, runFuzz} from './core/run-fuzz.js';
export type {Finding, FuzzOptions, FuzzReport} from './definitions.js';
