/** History of a run: a record of every attempt of every request. */
export type {HistoryEntry, JsonRow, Outcome} from './definitions.js';
export {HistoryRecorder} from './core/history-recorder.js';
