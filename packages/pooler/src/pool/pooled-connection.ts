import {type Result} from 'neverthrow';
import {
	type ConnectionError, type EndpointAnswer, type EndpointCommand, type EndpointConnection,
} from '../endpoint/index.js';
import {type TransactionState} from '../statement/index.js';
import {PreparedNames} from './prepared-names.js';

/** What a user of a connection needs to know of the statements that are prepared on it. */
export type PreparedOnConnection = Pick<PreparedNames, 'has' | 'namesToDeallocate'>;

/** An endpoint connection together with the session state that is set up on it. */
export class PooledConnection {
	/** Monotonic time at which the connection was last released to the pool, in ms. */
	idleSinceMs = 0;
	readonly #values = new Map<string, string>();
	readonly #prepared = new PreparedNames();
	#runningCount = 0;
	#transaction: TransactionState = 'idle';

	constructor(private readonly connection: EndpointConnection) {}

	get isOpen(): boolean {
		return this.connection.isOpen;
	}

	/** Whether another user may have the connection: it is open, every command was answered, and no transaction is open. */
	get isReusable(): boolean {
		return this.isOpen && this.#runningCount === 0 && this.#transaction === 'idle';
	}

	/** Session values in force at the endpoint. */
	get values(): ReadonlyMap<string, string> {
		return this.#values;
	}

	/** Length of the session values and their names. */
	get valueBytes(): number {
		return [...this.#values].reduce((bytes, [name, value]) => bytes + name.length + value.length, 0);
	}

	/** Names of the statements that are prepared on the connection. */
	get prepared(): PreparedOnConnection {
		return this.#prepared;
	}

	async run(command: EndpointCommand, timeoutMs: number): Promise<Result<EndpointAnswer, ConnectionError>> {
		this.#runningCount += 1;
		const answer = await this.connection.run(command, timeoutMs);
		this.#runningCount -= 1;
		if (answer.isOk()) {
			this.#recordAnswer(command, answer.value);
		}

		return answer;
	}

	close(): void {
		this.connection.close();
	}

	/** Recorded here and not by the user of the connection, who may have given it up before the answer arrives. */
	#recordAnswer(command: EndpointCommand, {error, transaction}: EndpointAnswer): void {
		this.#transaction = transaction;
		if (error?.code === 'unknown-statement' && (command.kind === 'execute' || command.kind === 'deallocate')) {
			this.#prepared.delete(command.name);
		}

		if (!error) {
			this.#recordEffect(command);
		}
	}

	#recordEffect(command: EndpointCommand): void {
		if (command.kind === 'reset') {
			this.#values.clear();
			this.#prepared.clear();
		}

		if (command.kind === 'set') {
			this.#values.set(command.name, command.value);
		}

		if (command.kind === 'prepare') {
			this.#prepared.add(command.name, command.shape.length);
		}

		if (command.kind === 'execute') {
			this.#prepared.touch(command.name);
		}

		if (command.kind === 'deallocate') {
			this.#prepared.delete(command.name);
		}
	}
}
