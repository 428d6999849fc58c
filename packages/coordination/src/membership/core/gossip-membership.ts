import {type TimerService} from '../../timer/index.js';
import {
	type DatagramTransport, type Member, type MemberListener, type MembershipView,
} from '../definitions.js';
import {createCounters, type GossipCounters} from '../domain/counters.js';
import {type RandomSource} from '../../random/index.js';
import {defaultGossipSettings, type GossipSettings} from '../domain/settings.js';
import {ClaimReceiver} from './claim-receiver.js';
import {encodeMember} from './datagram-codec.js';
import {DatagramReceiver, type DocumentVersionListener} from './datagram-receiver.js';
import {DatagramSender} from './datagram-sender.js';
import {type GossipContext, type GossipLogger} from './gossip-context.js';
import {Maintenance} from './maintenance.js';
import {MemberTable} from './member-table.js';
import {Prober} from './prober.js';
import {ProbeSchedule} from './probe-schedule.js';
import {Suspicions} from './suspicions.js';
import {TableExchange} from './table-exchange.js';
import {UpdatePusher} from './update-pusher.js';
import {UpdateQueue} from './update-queue.js';

/** Identity of this process; the rest of its entry is filled in. */
export type SelfDescription = Omit<Member, 'refutation' | 'state' | 'documentVersion'>;

/** Tells how long ago this member's document version was confirmed as current. */
export type DocumentConfirmation = {confirmedAgoMs(): number | undefined};

export type GossipMembershipOptions = {
	self: SelfDescription;
	transport: DatagramTransport;
	timers: TimerService;
	random: RandomSource;
	settings?: Partial<GossipSettings>;
	logger?: GossipLogger;
};

// Two entries and a message must fit one datagram.
const maxMemberBytes = 400;

/** SWIM-style failure detector that spreads member updates and document versions on its probes. */
export class GossipMembership implements MembershipView {
	readonly counters: GossipCounters = createCounters();
	readonly #context: GossipContext;
	readonly #prober: Prober;
	readonly #schedule: ProbeSchedule;
	readonly #suspicions: Suspicions;
	readonly #claims: ClaimReceiver;
	readonly #pusher: UpdatePusher;
	readonly #maintenance: Maintenance;
	readonly #receiver: DatagramReceiver;
	#self: Member;
	#verifications = {sinceMs: 0, count: 0};
	#documentConfirmation: DocumentConfirmation | undefined;
	#stopped = false;

	/** Throws a `RangeError` if the own entry is too long for datagrams. */
	constructor(options: GossipMembershipOptions) {
		this.#self = {
			...options.self, refutation: 0, state: 'alive', documentVersion: 0,
		};
		if (encodeMember(this.#self).length > maxMemberBytes) {
			throw new RangeError(`The entry of host ${options.self.hostId} is over ${maxMemberBytes} bytes; shorten its host id, addresses, failure domain or region.`);
		}

		const context = this.#createContext(options);
		const sender = new DatagramSender(context);
		const exchange = new TableExchange(context, sender);
		this.#context = context;
		this.#prober = new Prober(context, sender, member => {
			this.#suspect(member);
		});
		this.#schedule = new ProbeSchedule(context.table, options.random);
		this.#suspicions = new Suspicions(context, member => {
			this.#declareDead(member);
		});
		this.#claims = this.#createClaimReceiver();
		this.#pusher = new UpdatePusher(context, sender);
		this.#maintenance = new Maintenance(context, {
			prober: this.#prober, schedule: this.#schedule, exchange, pusher: this.#pusher,
		});
		this.#receiver = new DatagramReceiver(context, {prober: this.#prober, exchange, claims: this.#claims});
		this.#subscribe();
	}

	self(): Member {
		return this.#self;
	}

	members(): readonly Member[] {
		return this.#context.table.list();
	}

	get(hostId: string): Member | undefined {
		return this.#context.table.get(hostId);
	}

	onChange(listener: MemberListener): () => void {
		return this.#context.table.onChange(listener);
	}

	/**
	 * Calls the listener for each datagram of a known member with the version that the sender has in
	 * force, and the age in ms of the confirmation that it is current.
	 */
	onDocumentVersion(listener: DocumentVersionListener): () => void {
		this.#receiver.documentListeners.add(listener);
		return () => {
			this.#receiver.documentListeners.delete(listener);
		};
	}

	/** Sets the source of the confirmation age that each datagram carries. */
	setDocumentConfirmation(confirmation: DocumentConfirmation): void {
		this.#documentConfirmation = confirmation;
	}

	/** Starts probing and asks the seeds for their tables; repeats until a member is known. */
	join(seedAddresses: readonly string[]): void {
		this.#maintenance.start(seedAddresses);
	}

	/** Tells the fleet that this process takes no new work. */
	announceLeaving(): void {
		this.#setSelf({...this.#self, state: 'leaving'});
		this.#pusher.pushNow();
	}

	/** Announces the version that this process has in force; lower versions are ignored. */
	setDocumentVersion(version: number): void {
		if (version > this.#self.documentVersion) {
			this.#self = {...this.#self, documentVersion: version};
			this.#context.table.set(this.#self);
			this.#pusher.pushNow();
		}
	}

	/** Ends all activity. A process that announced leaving says that it is gone. */
	stop(): void {
		if (this.#self.state === 'leaving') {
			this.#setSelf({...this.#self, state: 'dead'});
			this.#pusher.pushNow();
		}

		this.#stopped = true;
		this.#suspicions.stop();
		this.#maintenance.stop();
	}

	#createContext({transport, timers, random, settings, logger, self}: GossipMembershipOptions): GossipContext {
		return {
			transport,
			timers,
			random,
			settings: {...defaultGossipSettings, ...settings},
			logger,
			table: new MemberTable(self.hostId, () => timers.nowMs()),
			queue: new UpdateQueue(),
			counters: this.counters,
			self: () => this.#self,
			documentConfirmedAgeMs: () => this.#documentConfirmation?.confirmedAgoMs(),
			isStopped: () => this.#stopped,
		};
	}

	#createClaimReceiver(): ClaimReceiver {
		return new ClaimReceiver(this.#context, {
			refute: claim => {
				this.counters.refutationsSent += 1;
				this.#setSelf({...this.#self, refutation: claim.refutation + 1});
			},
			verify: claim => {
				this.#verify(claim);
			},
		});
	}

	#subscribe(): void {
		const {table, transport, queue} = this.#context;
		table.set(this.#self);
		queue.add(this.#self);
		table.onChange((member, previous) => {
			if (member.hostId !== this.#self.hostId) {
				this.#follow(member, previous);
			}
		});
		transport.onReceive((fromAddress, payload) => {
			this.#receiver.receive(fromAddress, payload);
		});
	}

	#suspect(member: Member): void {
		const known = this.#context.table.get(member.hostId);
		const sameProcess = known?.startedUnixMs === member.startedUnixMs;
		if (sameProcess && known.state === 'alive') {
			this.counters.suspicionsRaised += 1;
			this.#claims.apply({...known, state: 'suspect'});
			this.#prober.pingMember(member.hostId);
		} else if (sameProcess && known.state === 'leaving') {
			// It takes no work anyway, so that nothing is gained by waiting.
			this.#declareDead(known);
		}
	}

	#declareDead(member: Member): void {
		this.counters.deathsDeclared += 1;
		this.#context.logger?.info({hostId: member.hostId, startedUnixMs: member.startedUnixMs}, 'Member declared dead');
		this.#claims.apply({...member, state: 'dead'});
	}

	#verify(claim: Member): void {
		const {timers, settings} = this.#context;
		const nowMs = timers.nowMs();
		if (nowMs - this.#verifications.sinceMs >= settings.probeIntervalMs) {
			this.#verifications = {sinceMs: nowMs, count: 0};
		}

		this.#verifications.count += 1;
		if (this.#verifications.count <= settings.maxVerificationsPerInterval) {
			this.#pusher.tellSubject(claim);
		}
	}

	#setSelf(self: Member): void {
		this.#self = self;
		this.#context.table.set(self);
		this.#context.queue.add(self);
	}

	#follow(member: Member, previous: Member | undefined): void {
		this.#suspicions.follow(member, previous);
		if (member.state !== 'dead' && (!previous || previous.state === 'dead')) {
			this.#schedule.add(member.hostId);
		}
	}
}
