import {err, ok, type Result} from 'neverthrow';
import {type EndpointAnswer, type EndpointCommand} from '../endpoint/index.js';
import {type EventLog} from '../observability/index.js';
import {type ConnectionLease, type LeaseError} from '../pool/index.js';
import {type ErrorCode} from '../statement/index.js';
import {type HeldConnection, type Operation} from './operation.js';
import {type PreparedStatement} from './prepared-statement.js';
import {type SessionState} from './session-state.js';

/** The session state could not be set up on the connection; the statement was not sent. */
export type PrepareError = LeaseError | {kind: 'refused'; message: string; command: EndpointCommand['kind']; refusal: NonNullable<EndpointAnswer['error']>};

/**
 * Sets up the session values and the prepared statement of the session on a connection. Waits for the answer to each
 * command before sending the next, because a statement must never run with session state that the endpoint refused.
 * Ends with `lease-ended` if the connection is given up meanwhile.
 */
export async function prepareConnection(
	{connection, member}: HeldConnection,
	{id, session}: Pick<Operation, 'id' | 'session'>,
	statement: PreparedStatement | undefined,
	{timeoutMs, events}: {timeoutMs: number; events: EventLog},
): Promise<Result<void, PrepareError>> {
	for (const command of preparationCommands(connection, session, statement)) {
		const answer = await connection.run(command, timeoutMs);
		if (answer.isErr()) {
			return err(answer.error);
		}

		const {error: refusal} = answer.value;
		const isGone = command.kind === 'deallocate' && refusal?.code === 'unknown-statement';
		if (refusal && !isGone) {
			return err({
				kind: 'refused', message: `${command.kind} was refused: ${refusal.text}`, command: command.kind, refusal,
			});
		}

		if (command.kind === 'prepare') {
			const {name, access, shape} = command;
			events.write('statement-prepared', {
				requestId: id, endpointId: member.id, name, access, shape,
			});
		}
	}

	return ok();
}

/** Codes of an endpoint that has done nothing, and would refuse the same text again. */
const lastingRefusalCodes: ReadonlySet<ErrorCode> = new Set(['malformed', 'too-large']);

/**
 * The endpoint's reason if it refuses for good what the client has set or prepared; the connection is as before. After any
 * other error the state of the connection is not known, and the preparation may succeed on another one.
 */
export const lastingRefusal = (error: PrepareError): NonNullable<EndpointAnswer['error']> | undefined =>
	error.kind === 'refused' && (error.command === 'set' || error.command === 'prepare') && lastingRefusalCodes.has(error.refusal.code)
		? error.refusal
		: undefined;

function preparationCommands(connection: ConnectionLease, session: SessionState, statement: PreparedStatement | undefined): EndpointCommand[] {
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
	const deallocate = needsPrepare && !needsReset
		? connection.prepared.namesToDeallocate.map((name): EndpointCommand => ({kind: 'deallocate', name}))
		: [];
	return [...(needsReset ? [{kind: 'reset'} as const] : []), ...values, ...deallocate, ...prepare];
}
