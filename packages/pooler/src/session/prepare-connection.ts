import {err, ok, type Result} from 'neverthrow';
import {type ConnectionError, type EndpointCommand} from '../endpoint/index.js';
import {type PooledConnection} from '../pool/index.js';
import {type PreparedStatement, type SessionState} from './session-state.js';

/** The connection cannot be brought to the session's state; the statement was not sent. */
export type PrepareError = ConnectionError | {kind: 'refused'; message: string};

/**
 * Brings the session values and the prepared statement of a connection to those of the session. Each command is
 * answered before the next is sent: a statement must never run on a state that was refused.
 */
export async function prepareConnection(
	connection: PooledConnection,
	session: SessionState,
	statement: PreparedStatement | undefined,
	timeoutMs: number,
): Promise<Result<void, PrepareError>> {
	for (const command of missingCommands(connection, session, statement)) {
		const answer = await connection.run(command, timeoutMs);
		if (answer.isErr()) {
			return err(answer.error);
		}

		if (answer.value.error) {
			return err({kind: 'refused', message: `${command.kind} was refused: ${answer.value.error.text}`});
		}

		applyTo(connection, command);
	}

	return ok();
}

function missingCommands(connection: PooledConnection, session: SessionState, statement: PreparedStatement | undefined): EndpointCommand[] {
	const hasForeignValue = [...connection.values.keys()].some(name => !session.values.has(name));
	const settled = hasForeignValue ? new Map<string, string>() : connection.values;
	const values = [...session.values]
		.filter(([name, value]) => settled.get(name) !== value)
		.map(([name, value]): EndpointCommand => ({kind: 'set', name, value}));
	const needsPrepare = statement && (hasForeignValue || !connection.prepared.has(statement.sharedName));
	const prepare: EndpointCommand[] = needsPrepare
		? [{
			kind: 'prepare', name: statement.sharedName, access: statement.access, shape: statement.shape,
		}]
		: [];
	return [...(hasForeignValue ? [{kind: 'reset'} as const] : []), ...values, ...prepare];
}

function applyTo({values, prepared}: PooledConnection, command: EndpointCommand): void {
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
