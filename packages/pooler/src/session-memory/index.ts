/** The limit on the memory that sessions take beyond their statements. */
export {copyText} from './copy-text.js';
export {
	SessionMemoryBudget, sessionMemoryLimits, type SessionMemoryAccount, type SessionMemoryAccountOptions, type SessionMemoryBudgetOptions, type SessionMemoryRefusal,
} from './session-memory-budget.js';
