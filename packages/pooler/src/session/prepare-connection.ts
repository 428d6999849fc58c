import {err, ok, type Result} from 'neverthrow';
import {type ConnectionError, type EndpointCommand} from '../endpoint/index.js';
import {type PooledConnection} from '../pool/index.js';
import {type PreparedStatement, type SessionState} from './session-state.js';

/** The session state could not be set up on the connection; the statement was not sent. */
export type PrepareError = ConnectionError | {kind: 'refused'; message: string};

/**
 * Sets up the session values and the prepared statement of the session on a connection. Waits for the answer to each
 * command before sending the next, because a statement must never run with session state that the endpoint refused.
 */
export async function prepareConnection(
	connection: PooledConnection,
	session: SessionState,
	statement: PreparedStatement | undefined,
	timeoutMs: number,
): Promise<Result<void, PrepareError>> {
	for (const command of preparationCommands(connection, session, statement)) {
		const answer = await connection.run(command, timeoutMs);
		if (answer.isErr()) {
			return err(answer.error);
		}

		if (answer.value.error) {
			return err({kind: 'refused', message: `${command.kind} was refused: ${answer.value.error.text}`});
		}

		trackCommand(connection, command);
	}

	return ok();
}

function preparationCommands(connection: PooledConnection, session: SessionState, statement: PreparedStatement | undefined): EndpointCommand[] {
	const needsReset = [...connection.values.keys()].some(name => !session.values.has(name));
	const currentValues = needsReset ? new Map<string, string>() : connection.values;
	const values = [...session.values]
		.filter(([name, value]) => currentValues.get(name) !== value)
		.map(([name, value]): EndpointCommand => ({kind: 'set', name, value}));
	const needsPrepare = statement && (needsReset || !connection.prepared.has(statement.sharedName));
	const prepare: EndpointCommand[] = needsPrepare
		? [{
			kind: 'prepare', name: statement.sharedName, access: statement.access, shape: statement.shape,
		}]
		: [];
	return [...(needsReset ? [{kind: 'reset'} as const] : []), ...values, ...prepare];
}

function trackCommand({values, prepared}: PooledConnection, command: EndpointCommand): void {
	const isReset = command.kind === 'reset';
	const isSet = command.kind === 'set';
	if (isReset) {
		values.clear();
		prepared.clear();
	}

	if (isSet) {
		values.set(command.name, command.value);
	}

	if (command.kind === 'prepare') {
		prepared.add(command.name);
	}
}
