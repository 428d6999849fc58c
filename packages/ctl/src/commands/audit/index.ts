/** `dogwoodctl audit`. */
export type {
	AuditCounters, CounterErrorKind, DatabaseCounters, PeriodCounters,
} from './definitions.js';
export {auditCommand} from './core/audit-command.js';
export {countersFrom} from './infra/sample-counters.js';
