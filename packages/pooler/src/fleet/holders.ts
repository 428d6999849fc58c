import {createHash} from 'node:crypto';
import {type ConnectionShare} from '../pool/index.js';
import {type FleetHost} from './fleet.js';

/** Hosts that hold connections to the endpoints of a service, and how many each may hold to one of them. */
export type HolderPlan = {
	/** Whether every host holds connections, so that no statement is forwarded. */
	isEveryHost: boolean;
	holders: readonly FleetHost[];
	share: ConnectionShare;
};

/** Part of an endpoint's connections that is dealt out; the rest is for hosts that start or are not known yet. */
const dealtShare = 0.85;
/** With fewer connections a host a single transaction would block the statements of all its other clients. */
const minShare = 2;
/** Connections of one holder; a few large pools need fewer connections than many small ones for the same wait. */
const holderShare = 12;
/** Holders that a service has at least, so that the loss of one leaves most of its connections in use. */
const minHolders = 4;

/**
 * Every host holds connections if each gets enough of them; otherwise a few hosts do, the same ones at every host
 * that knows the same fleet, spread over the failure domains.
 */
export function planHolders(service: string, hosts: readonly FleetHost[], maxConnections: number): HolderPlan {
	const dealt = Math.floor(maxConnections * dealtShare);
	const count = Math.max(1, hosts.length);
	if (dealt / count >= minShare || count <= minHolders) {
		return {isEveryHost: true, holders: hosts, share: {guaranteed: Math.max(1, Math.floor(dealt / count)), maxConnections}};
	}

	const holderCount = Math.min(count, Math.max(minHolders, Math.floor(dealt / holderShare)));
	const holders = spreadByDomain(service, hosts).slice(0, holderCount);
	return {isEveryHost: false, holders, share: {guaranteed: Math.max(1, Math.floor(dealt / holderCount)), maxConnections}};
}

/** Rendezvous order within each failure domain, taken from the domains in turn. */
function spreadByDomain(service: string, hosts: readonly FleetHost[]): FleetHost[] {
	const ranked = hosts
		.map(host => ({host, weight: hashOf(`${service}/${host.hostId}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.host.hostId < b.host.hostId ? -1 : 1));
	const seen = new Map<string, number>();
	return ranked
		.map(({host, weight}) => {
			const round = seen.get(host.failureDomain) ?? 0;
			seen.set(host.failureDomain, round + 1);
			return {host, weight, round};
		})
		.toSorted((a, b) => a.round - b.round || b.weight - a.weight)
		.map(({host}) => host);
}

/** Hash of a short name; names that differ in one character must not rank alike. */
const hashOf = (text: string): number => createHash('sha256').update(text).digest().readUInt32BE();
