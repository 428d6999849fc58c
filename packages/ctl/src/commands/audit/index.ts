/** `dogwoodctl audit`. */
export type {AuditCounters, CounterErrorKind, DatabaseCounters} from './definitions.js';
export {auditCommand} from './core/audit-command.js';
export {noCounters} from './infra/no-counters.js';
