/** The parts of one process, wired together. */
export {Pooler, type PoolerOptions} from './pooler.js';
