import {type Result} from 'neverthrow';
import {type TypedError} from '../errors/index.js';

/** Position in the replication log of a group. */
export type LogPosition = {
	term: number;
	index: number;
};

export type GroupMember = {
	memberId: string;
	/** `ip:port` of the endpoint service. */
	address: string;
	/** `ip:port` from which replicas fetch the log. */
	replicationAddress: string;
	failureDomain: string;
};

/**
 * - `fencing`: a promoter has claimed the term and makes a majority of the members refuse older terms.
 * - `promoting`: the primary of the term is chosen but not yet known to serve.
 * - `established`: the primary of the term serves.
 */
export type GroupPhase = 'fencing' | 'promoting' | 'established';

/** Value of the platform's object `groups/<database>`. Changed by conditional update only. */
export type GroupRecord = {
	database: string;
	members: GroupMember[];
	term: number;
	/**
	 * Member id of the primary of the term. While `fencing` there is none yet: it is the one recorded last in an earlier
	 * term, which may never have served.
	 */
	primary: string;
	phase: GroupPhase;
	/** Identifies the update that wrote this value, so that a promoter whose response was lost recognizes its own update. */
	changeId: string;
	/** Host that runs the promotion. */
	promoter?: string;
};

/** Status that an instance last reported about itself. */
export type MemberStatus = {
	memberId: string;
	role: 'primary' | 'replica';
	/** The instance refuses terms below this one. */
	fencedTerm: number;
	/** Term of the primary against which the instance has verified its log. */
	verifiedTerm: number;
	received: LogPosition;
	applied: LogPosition;
	/** Whether a replica has recently been in contact with its primary. Always true for a primary. */
	primaryContact: boolean;
	/** Whether the instance asks to receive no further work. */
	leaving: boolean;
	slots: number;
	busySlots: number;
};

export type FenceReply = {accepted: boolean; fencedTerm: number; last: LogPosition};
export type ControlReply = {accepted: boolean; fencedTerm: number};

/** The instance did not respond in time. */
export type ControlError = TypedError<'unreachable'>;

/** Controls the instances of a group. An instance that is fenced at a higher term refuses every call. */
export type GroupControl = {
	fence(database: string, member: GroupMember, term: number): Promise<Result<FenceReply, ControlError>>;
	promote(database: string, member: GroupMember, term: number): Promise<Result<ControlReply, ControlError>>;
	follow(database: string, member: GroupMember, term: number, primary: GroupMember): Promise<Result<ControlReply, ControlError>>;
};

/**
 * - `superseded`: another promoter has changed the record or fenced a higher term.
 * - `no-majority`: fewer than a majority of the group could be fenced.
 * - `platform-unavailable`: the platform, which arbitrates between promoters, is unavailable or its record is damaged.
 * - `not-needed`: the primary to be replaced is no longer the primary.
 * - `target-refused`: the chosen member could not be promoted.
 */
export type PromotionErrorKind = 'superseded' | 'no-majority' | 'platform-unavailable' | 'not-needed' | 'target-refused';

export type PromotionError = TypedError<PromotionErrorKind>;

export type PromotionReport = {
	database: string;
	term: number;
	primary: string;
	agreementMs: number;
	fencingMs: number;
	promotionMs: number;
};
