import {type EventFields, type EventLog} from './definitions.js';

/** Fields of a log line for an error that the code did not expect. */
export const errorFields = (error: unknown): EventFields => ({
	reason: error instanceof Error ? error.message : String(error),
	stack: error instanceof Error ? error.stack : undefined,
});

/**
 * Runs a task that nobody awaits. An unexpected error is logged, and does not become an unhandled rejection, which
 * would end the process and with it the sessions of all its clients.
 */
export async function guardTask(task: string, events: EventLog, run: () => Promise<void>): Promise<void> {
	try {
		await run();
	} catch (error) {
		events.write('unexpected-error', {task, ...errorFields(error)});
	}
}
