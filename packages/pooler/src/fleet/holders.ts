import {createHash} from 'node:crypto';
import {type ConnectionShare} from '../pool/index.js';
import {type FleetHost} from './fleet.js';

/** The hosts that hold connections to the endpoints of a service, and how many connections each may hold to one endpoint. */
export type HolderPlan = {
	/** Whether every host is a holder, so that no statement is forwarded. */
	isEveryHost: boolean;
	holders: readonly FleetHost[];
	share: ConnectionShare;
};

/** Fraction of an endpoint's connections that is guaranteed to holders. The rest is for hosts that are starting or not yet known. */
const guaranteedFraction = 0.85;
/** With fewer connections per host, a single transaction would block the statements of all its other clients. */
const minConnectionsPerHost = 2;
/** Target size of a pool: few large pools need fewer connections than many small ones for the same waiting time. */
const connectionsPerHolder = 12;
/** Minimum number of holders of a service, so that most of its connections remain usable when one holder fails. */
const minHolders = 4;

/**
 * Makes every host a holder if each gets enough connections. Otherwise chooses a few hosts, spread over the failure
 * domains; hosts with the same view of the fleet choose the same holders.
 */
export function planHolders(service: string, hosts: readonly FleetHost[], maxConnections: number): HolderPlan {
	const guaranteedTotal = Math.floor(maxConnections * guaranteedFraction);
	const hostCount = Math.max(1, hosts.length);
	if (guaranteedTotal / hostCount >= minConnectionsPerHost || hostCount <= minHolders) {
		return {isEveryHost: true, holders: hosts, share: {guaranteed: Math.max(1, Math.floor(guaranteedTotal / hostCount)), maxConnections}};
	}

	const holderCount = Math.min(hostCount, Math.max(minHolders, Math.floor(guaranteedTotal / connectionsPerHolder)));
	const holders = orderAcrossDomains(service, hosts).slice(0, holderCount);
	return {isEveryHost: false, holders, share: {guaranteed: Math.max(1, Math.floor(guaranteedTotal / holderCount)), maxConnections}};
}

/** Orders hosts by rendezvous hashing within each failure domain, and takes them from the domains in turn. */
function orderAcrossDomains(service: string, hosts: readonly FleetHost[]): FleetHost[] {
	const ranked = hosts
		.map(host => ({host, weight: hashToWeight(`${service}/${host.hostId}`)}))
		.toSorted((a, b) => b.weight - a.weight || (a.host.hostId < b.host.hostId ? -1 : 1));
	const hostCountByDomain = new Map<string, number>();
	return ranked
		.map(({host, weight}) => {
			const rankInDomain = hostCountByDomain.get(host.failureDomain) ?? 0;
			hostCountByDomain.set(host.failureDomain, rankInDomain + 1);
			return {host, weight, rankInDomain};
		})
		.toSorted((a, b) => a.rankInDomain - b.rankInDomain || b.weight - a.weight)
		.map(({host}) => host);
}

/** Uses a cryptographic hash, because names that differ in one character must get unrelated weights. */
const hashToWeight = (text: string): number => createHash('sha256').update(text).digest().readUInt32BE();
