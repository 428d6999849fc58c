import {Code, ConnectError} from '@connectrpc/connect';
import {type SessionRequest} from '@dogwoodthread/protocol';
import {type ConnectionIdentity, type SessionAnswer} from '../definitions.js';
import {type RegisteredConnection} from '../core/connection-registry.js';
import {refused} from '../core/statement-executor.js';
import {Session} from '../core/session.js';
import {type Instance} from './instance.js';
import {Outbox} from './outbox.js';
import {
	type SessionMessage, toIdentity, toMessages, toRequestKey, toStatementRequest,
} from './wire.js';

/** Distance from a real request id to one that the session never issued. */
const foreignIdOffset = 1_000_003n;

const foreignAnswer: SessionAnswer = {
	kind: 'completed', answer: {rows: ['{"bookingId":"of-another-session"}']}, position: {term: 0, index: 0}, verifiedTerm: 0, repeated: false, serviceUs: 0,
};

/** One connection: reads requests in order and answers each before it reads the next. */
export class SessionStream implements RegisteredConnection {
	identity: ConnectionIdentity = {rank: 0, generation: 0, index: 0};
	readonly outbox: Outbox<SessionMessage>;
	readonly #session: Session;
	#isOpen = false;
	#isClosed = false;

	constructor(private readonly instance: Instance) {
		this.outbox = new Outbox(instance.timers, instance.faults);
		this.#session = new Session(instance.member, instance.executor);
	}

	/** Ends the connection and rolls back its transaction. */
	close(reason: string): void {
		this.#isClosed = true;
		this.#session.close();
		this.instance.registry.remove(this);
		this.outbox.close(new ConnectError(`Connection closed: ${reason}.`, Code.Aborted));
	}

	silence(): void {
		this.outbox.silence();
	}

	async run(requests: AsyncIterable<SessionRequest>): Promise<void> {
		try {
			for await (const {request} of requests) {
				await this.instance.faults.untilThawed();
				await (!this.#isClosed && this.#handle(request));
				if (this.#isClosed) {
					return;
				}
			}

			this.outbox.finish();
		} catch (error) {
			this.outbox.close(ConnectError.from(error));
		} finally {
			this.#session.close();
			this.instance.registry.remove(this);
		}
	}

	async #handle(request: SessionRequest['request']): Promise<void> {
		if (request.case === 'hello') {
			await this.#open(request);
		} else if (request.case === undefined || !this.#isOpen) {
			this.outbox.finish(new ConnectError('The first request of a session must be Hello.', Code.InvalidArgument));
			this.#isClosed = true;
		} else {
			const answer = await this.#answer(request);
			this.#send(request.value.requestId, answer);
		}
	}

	async #open({value: hello}: SessionRequest['request'] & {case: 'hello'}): Promise<void> {
		const {instance} = this;
		this.identity = toIdentity(hello);
		const refusal = instance.open(hello.database, this);
		if (refusal) {
			this.#send(0n, refused(refusal));
			this.outbox.finish();
			this.#isClosed = true;
			return;
		}

		await instance.timers.sleep(instance.settings.openDelayMs);
		this.#isOpen = true;
		this.outbox.push({
			requestId: 0n,
			response: {case: 'helloAccepted', value: {memberId: instance.settings.memberId, term: BigInt(instance.member.fencedTerm)}},
		});
	}

	async #answer(request: Exclude<SessionRequest['request'], {case: 'hello' | undefined}>): Promise<SessionAnswer> {
		switch (request.case) {
			case 'execute': {
				return this.#session.execute(toStatementRequest(request.value));
			}

			case 'begin': {
				return this.#session.begin(Number(request.value.term));
			}

			case 'commit': {
				return this.#session.commit(toRequestKey(request.value.requestKey));
			}

			case 'rollback': {
				return this.#session.rollback();
			}
		}
	}

	#send(requestId: bigint, answer: SessionAnswer): void {
		const {crossAnswers, dropMidRows} = this.instance.faults.values;
		if (answer.kind === 'refused') {
			this.instance.countRefusal(answer.code);
		}

		const messages = [
			...(crossAnswers ? toMessages(requestId + foreignIdOffset, foreignAnswer) : []),
			...toMessages(requestId, answer),
		];
		if (dropMidRows && answer.kind === 'completed' && answer.answer.rows.length > 0) {
			this.outbox.push(messages[0]!);
			this.outbox.finish(new ConnectError('Connection lost.', Code.Unavailable));
			this.#isClosed = true;
			return;
		}

		for (const message of messages) {
			this.outbox.push(message);
		}
	}
}
