import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/** A database as one of its owners sees it. */
export type OwnedDatabase = {
	database: string;
	rank: number;
	acting: boolean;
	term: number;
	/** Absent while no primary serves. */
	primary?: string;
	primaryLostForMs?: number;
	/** Why the last promotion failed, while one is still called for. */
	promotionFailed?: string;
	instances: Array<{memberId: string; reachable: boolean}>;
};

/** The status page of a proxy, as far as it is used here. */
export type ProxyStatus = {
	hostId: string;
	ready: boolean;
	document: {version: number; confirmationAgeMs: number; isStale: boolean; damagedVersion?: number};
	/** Members that the proxy does not know as dead. */
	liveHostIds: string[];
	databases: OwnedDatabase[];
};

export type StatusError = TypedError<'proxy-unavailable'>;

export type StatusReader = {
	/** @param address Admin address, `ip:port`. */
	read(address: string): ResultAsync<ProxyStatus, StatusError>;
};

/** Answer of one address. */
export type StatusAnswer = {address: string; status?: ProxyStatus; problem?: string};

export type ProxyRow = {
	address: string;
	hostId: string;
	ready: boolean;
	/** 0 for none. */
	documentVersion: number;
	confirmationAgeMs?: number;
	attention: string[];
};

export type DatabaseRow = {
	database: string;
	/** Absent if none of the proxies that answered acts. */
	actingOwner?: string;
	term: number;
	primary?: string;
	unreachable: string[];
	attention: string[];
};

export type FleetStatus = {proxies: ProxyRow[]; databases: DatabaseRow[]};
