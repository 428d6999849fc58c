/** Record of every request of a run. */
export type {HistoryEntry, JsonRow, Outcome} from './definitions.js';
export {HistoryRecorder} from './core/history-recorder.js';
