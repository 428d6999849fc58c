import {
	type Admission, type AdmissionLimits, type GroupMember, type MemberStatus, type OwnerSeat, type PromotePrimary,
	type SessionTokenCodec, type TimerService, type WorkClass,
} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';
import {type EndpointConnector} from '../endpoint/index.js';

/** Limits and bounds of one database, from the governing document and the settings. */
export type DatabasePolicy = {
	/** Connections that an instance accepts from all proxies together. */
	connectionCap: number;
	admission: AdmissionLimits;
	detectionMs: number;
	connectTimeoutMs: number;
	/** Time without an answer after which a connection for short work counts as silent. */
	progressTimeoutMs: number;
	/** Age of an unconfirmed write at which new writes are refused. */
	unconfirmedBoundMs: number;
	transactionTimeoutMs: number;
	transactionIdleMs: number;
	/** Class that the governing document gives a statement; undefined if it gives none. */
	workClassOf(statementName: string): WorkClass | undefined;
	/** Greatest age of data that the document allows for a statement's reads; undefined if it gives none. */
	maxAgeMsOf(statementName: string): number | undefined;
};

/** Asks a proxy of another failure domain whether fresh connections to an instance work. */
export type Witness = {
	observe(database: string, member: GroupMember): Promise<'reachable' | 'unreachable' | 'no-witness'>;
};

export type AdmissionFactory = (limits: AdmissionLimits) => Admission;

/** What happened at an owner, for metrics and the log. */
export type OwnerEvents = {
	promotion(report: {database: string; term: number; primary: string; detectionMs: number; agreementMs: number; fencingMs: number; promotionMs: number}): void;
	promotionFailed(database: string, kind: string): void;
};

export type OwnerOptions = {
	database: string;
	seat: OwnerSeat;
	hostId: string;
	failureDomain: string;
	members: GroupMember[];
	connector: EndpointConnector;
	timers: TimerService;
	tokens: SessionTokenCodec;
	promotePrimary: PromotePrimary;
	witness: Witness;
	policy: DatabasePolicy;
	createAdmission: AdmissionFactory;
	/** Whether this proxy is the one that acts for the database, by its own view. */
	isActing: () => boolean;
	/** Whether the platform lists the instance as leaving. */
	isListedAsLeaving: (memberId: string) => boolean;
	random: () => number;
	events: OwnerEvents;
	logger: Logger;
};

/** What the owner knows of one instance. */
export type MemberHealth = {
	status: MemberStatus | undefined;
	/** Since when fresh connections fail, monotonic ms; undefined if the last one worked. */
	unreachableSinceMs: number | undefined;
	/** Since when the instance reports to have lost its primary. */
	contactLostSinceMs: number | undefined;
	monitorUp: boolean;
};
