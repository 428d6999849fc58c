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
import {PeriodicTasks} from './periodic-tasks.js';
import {MemberTable} from './member-table.js';
import {Prober} from './prober.js';
import {ProbeSchedule} from './probe-schedule.js';
import {SuspicionTimers} from './suspicion-timers.js';
import {TableExchange} from './table-exchange.js';
import {UpdatePusher} from './update-pusher.js';
import {UpdateQueue} from './update-queue.js';

/** The fields of this process's member entry that the caller provides. */
export type SelfDescription = Omit<Member, 'refutation' | 'state' | 'documentVersion'>;

/** Source of the time since this member's document version was last confirmed as current. */
export type DocumentConfirmation = {confirmedAgeMs(): number | undefined};

export type GossipMembershipOptions = {
	self: SelfDescription;
	transport: DatagramTransport;
	timers: TimerService;
	random: RandomSource;
	settings?: Partial<GossipSettings>;
	logger?: GossipLogger;
};

// A message and two member entries must fit one datagram.
const maxMemberBytes = 400;

/** SWIM-style failure detector that piggybacks member updates and document versions on its probes. */
export class GossipMembership implements MembershipView {
	readonly counters: GossipCounters = createCounters();
	readonly #context: GossipContext;
	readonly #prober: Prober;
	readonly #schedule: ProbeSchedule;
	readonly #suspicionTimers: SuspicionTimers;
	readonly #claimReceiver: ClaimReceiver;
	readonly #pusher: UpdatePusher;
	readonly #periodicTasks: PeriodicTasks;
	readonly #receiver: DatagramReceiver;
	#self: Member;
	#verificationWindow = {startMs: 0, count: 0};
	#documentConfirmation: DocumentConfirmation | undefined;
	#isStopped = false;

	/** Throws a `RangeError` if the entry of this process is too long for datagrams. */
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
			this.#raiseSuspicion(member);
		});
		this.#schedule = new ProbeSchedule(context.table, options.random);
		this.#suspicionTimers = new SuspicionTimers(context, member => {
			this.#declareDead(member);
		});
		this.#claimReceiver = this.#createClaimReceiver();
		this.#pusher = new UpdatePusher(context, sender);
		this.#periodicTasks = new PeriodicTasks(context, {
			prober: this.#prober, schedule: this.#schedule, exchange, pusher: this.#pusher,
		});
		this.#receiver = new DatagramReceiver(context, {prober: this.#prober, exchange, claimReceiver: this.#claimReceiver});
		this.#registerSelfAndListeners();
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
	 * Calls the listener for each datagram from a known member with the document version that the sender has in force
	 * and, if known, the age in ms of the last confirmation that this version is current.
	 */
	onDocumentVersion(listener: DocumentVersionListener): () => void {
		this.#receiver.documentVersionListeners.add(listener);
		return () => {
			this.#receiver.documentVersionListeners.delete(listener);
		};
	}

	/** Sets the source of the confirmation age that is sent in each datagram. */
	setDocumentConfirmation(confirmation: DocumentConfirmation): void {
		this.#documentConfirmation = confirmation;
	}

	/** Starts probing and exchanges tables with the seeds; repeats this until another member is known. */
	join(seedAddresses: readonly string[]): void {
		this.#periodicTasks.start(seedAddresses);
	}

	/** Announces to the fleet that this process is shutting down and accepts no new requests. */
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

	/** Stops all activity. A process that has announced its leaving first announces itself as dead. */
	stop(): void {
		if (this.#self.state === 'leaving') {
			this.#setSelf({...this.#self, state: 'dead'});
			this.#pusher.pushNow();
		}

		this.#isStopped = true;
		this.#suspicionTimers.stop();
		this.#periodicTasks.stop();
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
			documentConfirmedAgeMs: () => this.#documentConfirmation?.confirmedAgeMs(),
			isStopped: () => this.#isStopped,
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

	#registerSelfAndListeners(): void {
		const {table, transport, queue} = this.#context;
		table.set(this.#self);
		queue.add(this.#self);
		table.onChange((member, previous) => {
			if (member.hostId !== this.#self.hostId) {
				this.#handleMemberChange(member, previous);
			}
		});
		transport.onReceive((fromAddress, payload) => {
			this.#receiver.receive(fromAddress, payload);
		});
	}

	#raiseSuspicion(member: Member): void {
		const known = this.#context.table.get(member.hostId);
		const isSameIncarnation = known?.startedUnixMs === member.startedUnixMs;
		if (isSameIncarnation && known.state === 'alive') {
			this.counters.suspicionsRaised += 1;
			this.#claimReceiver.apply({...known, state: 'suspect'});
			this.#prober.pingMember(member.hostId);
		} else if (isSameIncarnation && known.state === 'leaving') {
			// A leaving member accepts no requests, so there is nothing to gain from a suspicion period.
			this.#declareDead(known);
		}
	}

	#declareDead(member: Member): void {
		this.counters.deathsDeclared += 1;
		this.#context.logger?.info({hostId: member.hostId, startedUnixMs: member.startedUnixMs}, 'Member declared dead');
		this.#claimReceiver.apply({...member, state: 'dead'});
	}

	/** Asks a member to confirm its state, within the limit per probe interval. */
	#verify(claim: Member): void {
		const {timers, settings} = this.#context;
		const nowMs = timers.nowMs();
		if (nowMs - this.#verificationWindow.startMs >= settings.probeIntervalMs) {
			this.#verificationWindow = {startMs: nowMs, count: 0};
		}

		this.#verificationWindow.count += 1;
		if (this.#verificationWindow.count <= settings.maxVerificationsPerInterval) {
			this.#pusher.sendClaimToSubject(claim);
		}
	}

	#setSelf(self: Member): void {
		this.#self = self;
		this.#context.table.set(self);
		this.#context.queue.add(self);
	}

	#handleMemberChange(member: Member, previous: Member | undefined): void {
		this.#suspicionTimers.handleMemberChange(member, previous);
		if (member.state !== 'dead' && (!previous || previous.state === 'dead')) {
			this.#schedule.add(member.hostId);
		}
	}
}
