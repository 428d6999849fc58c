import {type TypedError} from '@dogwoodthread/coordination';
import {type ResultAsync} from 'neverthrow';

/** State of a database as reported by one of its owners. */
export type OwnedDatabase = {
	database: string;
	rank: number;
	acting: boolean;
	term: number;
	/** Absent while no primary serves. */
	primary?: string;
	primaryLostForMs?: number;
	/** Why the last promotion failed; present while a promotion is still needed. */
	promotionFailed?: string;
	instances: Array<{memberId: string; reachable: boolean}>;
};

/** The fields of a proxy's status page that this command uses. */
export type ProxyStatus = {
	hostId: string;
	ready: boolean;
	document: {version: number; confirmationAgeMs: number; isStale: boolean; damagedVersion?: number};
	/** Members that the proxy does not consider dead. */
	liveHostIds: string[];
	databases: OwnedDatabase[];
};

export type StatusError = TypedError<'proxy-unavailable'>;

export type StatusReader = {
	/** @param address Admin address, `ip:port`. */
	read(address: string): ResultAsync<ProxyStatus, StatusError>;
};

/** Status of the proxy at one address, or why it could not be read. */
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
	/** Absent if none of the proxies that answered is the acting owner. */
	actingOwner?: string;
	term: number;
	primary?: string;
	unreachable: string[];
	attention: string[];
};

export type FleetStatus = {proxies: ProxyRow[]; databases: DatabaseRow[]};
