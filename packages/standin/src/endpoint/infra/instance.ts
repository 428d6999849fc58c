import {type SystemTimerService} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {type MonitorResponse} from '@dogwoodthread/protocol';
import {ConnectionRegistry, type RegisteredConnection} from '../core/connection-registry.js';
import {Faults} from '../core/faults.js';
import {GroupMember} from '../core/group-member.js';
import {SlotPool} from '../core/slot-pool.js';
import {StatementExecutor} from '../core/statement-executor.js';
import {type Refusal} from '../definitions.js';
import {type EndpointSettings} from '../settings.js';
import {toWirePosition} from './wire.js';

const hourMs = 3_600_000;

/** The parts of one running instance, shared by its services. */
export class Instance {
	readonly faults: Faults;
	readonly member: GroupMember;
	readonly slots: SlotPool;
	readonly registry: ConnectionRegistry;
	readonly executor: StatementExecutor;
	readonly #refusals: Record<string, number> = {};

	constructor(readonly settings: EndpointSettings, readonly timers: SystemTimerService, readonly log: Logger) {
		this.faults = new Faults({replicationDelayMs: settings.replicationDelayMs, applyLagMs: settings.applyLagMs});
		this.member = new GroupMember({
			memberId: settings.memberId,
			timers,
			faults: this.faults,
			keyLimits: {retentionMs: settings.keyRetentionHours * hourMs, maxAgeMs: settings.keyMaxAgeHours * hourMs},
			replicationTimeoutMs: settings.replicationTimeoutMs,
		});
		this.slots = new SlotPool(settings.slots);
		this.registry = new ConnectionRegistry(settings.maxConnections);
		this.executor = new StatementExecutor({
			member: this.member, slots: this.slots, faults: this.faults, timers, serviceMs: settings.serviceMs,
		});
	}

	/** Opens a connection, or says why not. */
	open(database: string, connection: RegisteredConnection): Refusal | undefined {
		const refusal = database === this.settings.database
			? this.registry.open(connection)
			: {code: 'wrong-database', message: `This is an instance of ${this.settings.database}; correct the address.`};
		if (refusal) {
			this.log.warn({...connection.identity, code: refusal.code}, 'Refused a connection.');
		}

		return refusal;
	}

	/** Makes the oldest connections stop answering for good. */
	silence(count: number | 'all'): void {
		const {connections} = this.registry;
		for (const connection of connections.slice(0, count === 'all' ? connections.length : count)) {
			connection.silence();
		}
	}

	countRefusal(code: string): void {
		this.#refusals[code] = (this.#refusals[code] ?? 0) + 1;
	}

	stats(): Record<string, unknown> {
		return {
			memberId: this.settings.memberId,
			...this.member.status,
			term: this.member.fencedTerm,
			connections: this.registry.count,
			maxConnectionsSeen: this.registry.maxSeen,
			slots: this.slots.size,
			busySlots: this.slots.busy,
			refusals: {...this.#refusals},
		};
	}

	monitorStatus(): Omit<MonitorResponse, '$typeName' | 'pingId' | 'received' | 'applied'> & Record<'received' | 'applied', ReturnType<typeof toWirePosition>> {
		const {role, fencedTerm, verifiedTerm, received, applied, primaryContact} = this.member.status;
		return {
			memberId: this.settings.memberId,
			role,
			fencedTerm: BigInt(fencedTerm),
			verifiedTerm: BigInt(verifiedTerm),
			received: toWirePosition(received),
			applied: toWirePosition(applied),
			primaryContact,
			leaving: this.faults.values.leaving,
			connections: this.registry.count,
			maxConnectionsSeen: this.registry.maxSeen,
			slots: this.slots.size,
			busySlots: this.slots.busy,
		};
	}
}
