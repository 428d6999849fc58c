/** The command `dogwoodctl report`: burn of service-level objectives from the proxies' counters. */
export type {ObjectivesSource, ReportError} from './definitions.js';
export {runReport, type ReportOptions} from './infra/run-report.js';
export {JsonLinesSampleStore} from './infra/json-lines-sample-store.js';
