import {
	type Admission, type AdmissionLimits, type GroupMember, type MemberStatus, type OwnerSeat, type PromotePrimary,
	type SessionTokenCodec, type TimerService, type WorkClass,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {type EndpointConnector} from '../endpoint/index.js';

/** Limits of one database, from the governing document and the settings. */
export type DatabasePolicy = {
	/** Connections that an instance accepts from all proxies together. */
	connectionCap: number;
	admission: AdmissionLimits;
	/** Time for which a failure must last before the primary is replaced. */
	detectionMs: number;
	connectTimeoutMs: number;
	/** Time without a response after which a connection that runs short work is treated as unresponsive. */
	progressTimeoutMs: number;
	/** Age of an unconfirmed write above which new writes are refused. */
	unconfirmedBoundMs: number;
	transactionTimeoutMs: number;
	transactionIdleMs: number;
	/** Work class that the governing document assigns to a statement; undefined if it assigns none. */
	findWorkClass(statementName: string): WorkClass | undefined;
	/** Maximum staleness that the governing document allows for a statement's reads; undefined if it sets none. */
	findMaxAgeMs(statementName: string): number | undefined;
};

/** Asks a proxy in another failure domain whether it can open a new connection to an instance. */
export type ReachabilityObserver = {
	observe(database: string, member: GroupMember): Promise<'reachable' | 'unreachable' | 'no-witness'>;
};

export type AdmissionFactory = (limits: AdmissionLimits) => Admission;

/** Receives the promotions of an owner, for metrics and the log. */
export type OwnerEvents = {
	recordPromotion(report: {database: string; term: number; primary: string; detectionMs: number; agreementMs: number; fencingMs: number; promotionMs: number}): void;
	recordPromotionFailure(database: string, kind: string): void;
};

export type OwnerOptions = {
	database: string;
	seat: OwnerSeat;
	hostId: string;
	failureDomain: string;
	members: GroupMember[];
	connector: EndpointConnector;
	timers: TimerService;
	tokenCodec: SessionTokenCodec;
	promotePrimary: PromotePrimary;
	reachabilityObserver: ReachabilityObserver;
	policy: DatabasePolicy;
	createAdmission: AdmissionFactory;
	/** Whether this proxy is the acting owner of the database, according to its own membership view. */
	isActing: () => boolean;
	/** Whether the platform lists the instance as leaving the group. */
	isListedAsLeaving: (memberId: string) => boolean;
	random: () => number;
	events: OwnerEvents;
	logger: Logger;
};

/** Health of one instance as observed by its monitor. */
export type MemberHealth = {
	status: MemberStatus | undefined;
	/** Monotonic time since which new monitor connections have failed; undefined if the last one succeeded. */
	unreachableSinceMs: number | undefined;
	/** Monotonic time since which this replica has reported no contact with its primary; undefined while it has contact. */
	contactLostSinceMs: number | undefined;
	/** Whether the status stream is up. Stays true until an attempt to reopen a broken stream fails. */
	isMonitorUp: boolean;
};
