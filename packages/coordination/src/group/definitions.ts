import {type Result} from 'neverthrow';
import {type TypedError} from '../errors/index.js';

/** Place in a group's log. */
export type LogPosition = {
	term: number;
	index: number;
};

export type GroupMember = {
	memberId: string;
	/** `ip:port` of the endpoint service. */
	address: string;
	/** `ip:port` from which replicas pull the log. */
	replicationAddress: string;
	failureDomain: string;
};

/**
 * - `fencing`: a promoter claimed the term and refuses the older ones at a majority.
 * - `promoting`: the primary of the term is chosen, not yet known to serve.
 * - `established`: the primary of the term serves.
 */
export type GroupPhase = 'fencing' | 'promoting' | 'established';

/** Value of the platform's object `groups/<database>`. Changed by conditional update only. */
export type GroupRecord = {
	database: string;
	members: GroupMember[];
	term: number;
	/** Primary of the term; while `fencing`, the primary of the last established term. */
	primary: string;
	phase: GroupPhase;
	/** Identifies the update that wrote this value, so that a lost answer can be resolved. */
	changeId: string;
	/** Host that runs the promotion. */
	promoter?: string;
};

/** What an instance last said of itself. */
export type MemberStatus = {
	memberId: string;
	role: 'primary' | 'replica';
	/** Terms below this are refused by the instance. */
	fencedTerm: number;
	/** Term of the primary against which the instance has verified its log. */
	verifiedTerm: number;
	received: LogPosition;
	applied: LogPosition;
	/** Whether a replica has heard from its primary lately. Always true for a primary. */
	primaryContact: boolean;
	/** The instance asks for no new work. */
	leaving: boolean;
	slots: number;
	busySlots: number;
};

export type FenceReply = {accepted: boolean; fencedTerm: number; last: LogPosition};
export type ControlReply = {accepted: boolean; fencedTerm: number};

/** An instance could not be reached in time. */
export type ControlError = TypedError<'unreachable'>;

/** Control of the instances of a group. Every call is refused by an instance that is fenced at a higher term. */
export type GroupControl = {
	fence(database: string, member: GroupMember, term: number): Promise<Result<FenceReply, ControlError>>;
	promote(database: string, member: GroupMember, term: number): Promise<Result<ControlReply, ControlError>>;
	follow(database: string, member: GroupMember, term: number, primary: GroupMember): Promise<Result<ControlReply, ControlError>>;
};

/**
 * - `superseded`: another promoter has changed the record or fenced a higher term.
 * - `no-majority`: fewer than a majority of the group could be fenced.
 * - `platform-unavailable`: the promotion cannot be agreed while the platform is down.
 * - `not-needed`: the primary that was to be replaced is no longer the primary.
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
