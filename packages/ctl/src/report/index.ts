/** The command `dogwoodctl report`: burn of service-level objectives from the proxies' counters. */
export {registerReport, runReport, type ReportOptions} from './infra/register-report.js';
export {JsonLinesSampleStore} from './infra/json-lines-sample-store.js';
