import {type ConnectionShare} from '../pool/index.js';

/** Part of an endpoint's connections that is dealt out; the rest is for hosts that start or are not known yet. */
const dealtShare = 0.85;

/** Connections to one endpoint that each of `hosts` hosts may always hold. */
export function connectionShare(maxConnections: number, hosts: number): ConnectionShare {
	return {guaranteed: Math.max(1, Math.floor((maxConnections * dealtShare) / Math.max(1, hosts))), maxConnections};
}
