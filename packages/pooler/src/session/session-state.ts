import {type LogPosition, maxPosition} from '@dogwoodthread/coordination';
import {type Access} from '../statement/index.js';

/** A prepared statement, stored under the name that the client gave it. */
export type PreparedStatement = {
	access: Access;
	shape: string;
	/** Name of the statement at the endpoints, shared by all clients that prepared the same shape. */
	sharedName: string;
};

/** Session values and prepared statements of a client, kept here so that they can be set up on any endpoint connection. */
export class SessionState {
	readonly values = new Map<string, string>();
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
		this.prepared.set(name, {access, shape, sharedName: `${access === 'read' ? 'r' : 'w'}_${shape}`});
	}
}
