/** `dogwoodctl audit`. */
export type {
	AuditCounters, CounterErrorKind, DatabaseCounters, PeriodCounters,
} from './definitions.js';
export {createAuditCommand} from './core/audit-command.js';
export {createAuditCounters} from './infra/sample-counters.js';
