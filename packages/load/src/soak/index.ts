/** Randomized soak test of the `dogwood-pooler` daemon: real processes, stand-ins for their dependencies, and injected faults. */
export {runSoak} from './core/run-soak.js';
export {checkSoakHistory} from './domain/history-checks.js';
export type {SoakOptions, SoakReport, Violation} from './definitions.js';
