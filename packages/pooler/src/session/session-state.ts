import {type LogPosition, maxPosition} from '@dogwoodthread/coordination';
import {type Access} from '../statement/index.js';

/** A prepared statement under the name that the client gave it. */
export type PreparedStatement = {
	access: Access;
	shape: string;
	/** Name under which endpoints know it; the same for every client that prepared the same shape. */
	sharedName: string;
};

/** What a client set up on its connection, kept here so that any endpoint connection can be brought to it. */
export class SessionState {
	readonly values = new Map<string, string>();
	readonly prepared = new Map<string, PreparedStatement>();
	#committed: LogPosition | undefined;

	/** Position of the session's latest acknowledged commit. */
	get committed(): LogPosition | undefined {
		return this.#committed;
	}

	noteCommit(position: LogPosition | undefined): void {
		if (position) {
			this.#committed = this.#committed ? maxPosition(this.#committed, position) : position;
		}
	}

	prepare(name: string, access: Access, shape: string): void {
		this.prepared.set(name, {access, shape, sharedName: `${access === 'read' ? 'r' : 'w'}_${shape}`});
	}
}
