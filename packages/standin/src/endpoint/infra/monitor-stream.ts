import {type MessageInitShape} from '@bufbuild/protobuf';
import {Code, ConnectError} from '@connectrpc/connect';
import {type Hello, type MonitorRequest, type MonitorResponseSchema} from '@dogwoodthread/protocol';
import {type ConnectionIdentity} from '../definitions.js';
import {type RegisteredConnection} from '../core/connection-registry.js';
import {type Instance} from './instance.js';
import {Outbox} from './outbox.js';
import {toIdentity, toWirePosition} from './wire.js';

type MonitorMessage = MessageInitShape<typeof MonitorResponseSchema>;

/** One monitor: answers pings and pushes the status when it has changed. */
export class MonitorStream implements RegisteredConnection {
	identity: ConnectionIdentity = {rank: 0, generation: 0, index: 0};
	readonly outbox: Outbox<MonitorMessage>;
	#isOpen = false;
	#isClosed = false;
	#isPushPlanned = false;
	#pushesPositions = false;
	#lastPushed = '';
	readonly #stopListening: Array<() => void> = [];

	constructor(private readonly instance: Instance) {
		this.outbox = new Outbox(instance.timers, instance.faults);
	}

	close(reason: string): void {
		this.#end();
		this.outbox.close(new ConnectError(`Connection closed: ${reason}.`, Code.Aborted));
	}

	silence(): void {
		this.outbox.silence();
	}

	async run(requests: AsyncIterable<MonitorRequest>): Promise<void> {
		try {
			for await (const {hello, pingId, pushPositions} of requests) {
				await this.instance.faults.untilThawed();
				if (this.#isClosed || (!this.#isOpen && !await this.#open(hello))) {
					return;
				}

				this.#pushesPositions = pushPositions;
				if (pingId !== 0n) {
					this.outbox.push({...this.instance.monitorStatus(), pingId});
				}
			}

			this.outbox.finish();
		} catch (error) {
			this.outbox.close(ConnectError.from(error));
		} finally {
			this.#end();
		}
	}

	async #open(hello: Hello | undefined): Promise<boolean> {
		if (!hello) {
			this.outbox.finish(new ConnectError('The first request of a monitor must carry Hello.', Code.InvalidArgument));
			return false;
		}

		this.identity = toIdentity(hello);
		const refusal = this.instance.open(hello.database, this);
		if (refusal) {
			this.instance.countRefusal(refusal.code);
			const code = refusal.code === 'too-many-connections' ? Code.ResourceExhausted : Code.FailedPrecondition;
			this.outbox.finish(new ConnectError(`${refusal.code}: ${refusal.message}`, code));
			return false;
		}

		await this.instance.timers.sleep(this.instance.settings.openDelayMs);
		this.#isOpen = true;
		const planPush = () => {
			this.#planPush();
		};

		this.#stopListening.push(this.instance.member.onChange(planPush), this.instance.faults.onChange(planPush));
		planPush();
		return true;
	}

	/** One push for all changes of an event loop turn. */
	#planPush(): void {
		if (this.#isPushPlanned) {
			return;
		}

		this.#isPushPlanned = true;
		setImmediate(() => {
			this.#isPushPlanned = false;
			const {faults, member} = this.instance;
			const {received, applied, ...standing} = member.status;
			const key = JSON.stringify([standing, faults.values.leaving, ...this.#pushesPositions ? [received, applied] : []]);
			// While frozen nothing is queued, so that the thaw shows one current status instead of old ones.
			if (key !== this.#lastPushed && !faults.values.frozen) {
				this.#lastPushed = key;
				this.outbox.push({...this.instance.monitorStatus(), pingId: 0n});
			}
		});
	}

	#end(): void {
		this.#isClosed = true;
		this.instance.registry.remove(this);
		for (const stop of this.#stopListening.splice(0)) {
			stop();
		}
	}
}
