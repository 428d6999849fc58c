import {type ConnectionIdentity, type Refusal} from '../definitions.js';

/** An open connection as the registry sees it. */
export type RegisteredConnection = {
	identity: ConnectionIdentity;
	/** Ends the connection; called when another one takes its place. */
	close(reason: string): void;
	/** Stops answering for good, without closing. */
	silence(): void;
};

/** Open connections of an instance: the cap, and the rule of rank, generation and index. */
export class ConnectionRegistry {
	readonly #connections = new Set<RegisteredConnection>();
	/** Highest generation seen for each rank. */
	readonly #generations = new Map<number, number>();
	#maxSeen = 0;

	constructor(private readonly maxConnections: number) {}

	get count(): number {
		return this.#connections.size;
	}

	get maxSeen(): number {
		return this.#maxSeen;
	}

	get connections(): readonly RegisteredConnection[] {
		return [...this.#connections];
	}

	/** Counts a connection from now on, closing those it replaces, or says why it may not open. */
	open(connection: RegisteredConnection): Refusal | undefined {
		const {rank, generation} = connection.identity;
		const highest = this.#generations.get(rank) ?? 0;
		if (generation < highest) {
			return {code: 'stale-generation', message: `Rank ${rank} is at generation ${highest}; read the ownership record again.`};
		}

		this.#generations.set(rank, generation);
		this.#closeReplaced(connection.identity);
		if (this.#connections.size >= this.maxConnections) {
			return {code: 'too-many-connections', message: `All ${this.maxConnections} connections are in use; use an open one.`};
		}

		this.#connections.add(connection);
		this.#maxSeen = Math.max(this.#maxSeen, this.#connections.size);
		return undefined;
	}

	/** Stops counting a connection. Safe to call more than once. */
	remove(connection: RegisteredConnection): void {
		this.#connections.delete(connection);
	}

	#closeReplaced({rank, generation, index}: ConnectionIdentity): void {
		for (const connection of this.#connections) {
			const {identity} = connection;
			if (identity.rank === rank && (identity.generation < generation || identity.index === index)) {
				this.#connections.delete(connection);
				connection.close(`replaced by generation ${generation}, index ${index} of rank ${rank}`);
			}
		}
	}
}
