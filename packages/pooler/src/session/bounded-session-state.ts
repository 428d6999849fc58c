import {ok, type Result} from 'neverthrow';
import {copyText, type SessionMemoryAccount, type SessionMemoryRefusal} from '../session-memory/index.js';
import {type Access} from '../statement/index.js';
import {type FailureReason, statementFailure, type StatementFailure} from './errors.js';
import {type PreparedStatement} from './prepared-statement.js';
import {SessionState} from './session-state.js';

/** Memory of an entry beyond its text: a place in a map whose table doubles as it grows, up to four strings and an object. */
const entryOverheadBytes = 192;

const valueBytes = (name: string, value: string): number => entryOverheadBytes + name.length + value.length;

/** Memory of a prepared statement. */
export const preparedBytes = (name: string, {shape, sharedName}: PreparedStatement): number => entryOverheadBytes + name.length + shape.length + sharedName.length;

const failureReasons = {'session-limit': 'session-memory', 'process-limit': 'process-memory'} as const satisfies Record<SessionMemoryRefusal, FailureReason>;

/** The state of a session, whose memory is counted. A change that exceeds a limit is refused and leaves the state as it was. */
export class BoundedSessionState {
	readonly state = new SessionState();

	constructor(private readonly account: SessionMemoryAccount) {}

	setValue(name: string, value: string, requestId: string): Result<void, StatementFailure> {
		const {values} = this.state;
		const previous = values.get(name);
		if (previous === value) {
			return ok();
		}

		const addedBytes = valueBytes(name, value) - (previous === undefined ? 0 : valueBytes(name, previous));
		const added = this.reserve(addedBytes, requestId);
		if (added.isOk()) {
			values.set(copyText(name), copyText(value));
		}

		return added;
	}

	prepare({name, access, shape}: {name: string; access: Access; shape: string}, requestId: string): Result<void, StatementFailure> {
		const {prepared} = this.state;
		const previous = prepared.get(name);
		const ownName = copyText(name);
		this.state.prepare(ownName, access, copyText(shape));
		const addedBytes = preparedBytes(name, prepared.get(name)!) - (previous ? preparedBytes(name, previous) : 0);
		const added = this.reserve(addedBytes, requestId);
		if (added.isErr() && previous) {
			prepared.set(ownName, previous);
		} else if (added.isErr()) {
			prepared.delete(name);
		}

		return added;
	}

	deallocate(name: string): void {
		const previous = this.state.prepared.get(name);
		if (previous) {
			this.state.prepared.delete(name);
			this.release(preparedBytes(name, previous));
		}
	}

	/** Counts text that is kept outside the state until it is released, such as the id of an open transaction. */
	reserve(bytes: number, requestId: string): Result<void, StatementFailure> {
		return this.account.reserve(bytes, requestId).mapErr(refusal => statementFailure(failureReasons[refusal]));
	}

	release(bytes: number): void {
		this.account.release(bytes);
	}

	/** Counts everything as released. A statement that is still running keeps the state that it runs with. */
	close(): void {
		this.account.close();
	}
}
