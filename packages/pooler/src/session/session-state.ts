import {type LogPosition, maxPosition} from '@dogwoodthread/coordination';
import {type Access} from '../statement/index.js';
import {createPreparedStatement, type PreparedStatement} from './prepared-statement.js';

/** Session values and prepared statements of a client, kept here so that they can be set up on any endpoint connection. */
export class SessionState {
	readonly values = new Map<string, string>();
	/** Prepared statements by the name that the client gave them. */
	readonly prepared = new Map<string, PreparedStatement>();
	#lastCommitPosition: LogPosition | undefined;

	/** Log position of the session's latest acknowledged commit. */
	get lastCommitPosition(): LogPosition | undefined {
		return this.#lastCommitPosition;
	}

	recordCommit(position: LogPosition | undefined): void {
		if (position) {
			this.#lastCommitPosition = this.#lastCommitPosition ? maxPosition(this.#lastCommitPosition, position) : position;
		}
	}

	prepare(name: string, access: Access, shape: string): void {
		this.prepared.set(name, createPreparedStatement(access, shape));
	}
}
