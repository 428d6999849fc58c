/**
 * - `alive`: answers probes.
 * - `suspect`: did not answer direct and indirect probes; not yet given up.
 * - `leaving`: shuts down gracefully and takes no new work.
 * - `dead`: gave no sign of life for the suspicion timeout, or said that it left.
 */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** What is known of one proxy. */
export type Member = {
	hostId: string;
	/** Start time in ms since the Unix epoch. A later start of the same host is a new incarnation. */
	startedUnixMs: number;
	/** Raised by the member itself to refute a suspicion. */
	refutation: number;
	state: MemberState;
	/** `ip:port` of the UDP socket. */
	gossipAddress: string;
	/** `ip:port` of the peer service. */
	peerAddress: string;
	failureDomain: string;
	region: string;
	/** Version of the governing document that the member has in force; 0 for none. */
	documentVersion: number;
};

export type MemberListener = (member: Member, previous: Member | undefined) => void;

/** Read access to the member table of this process. */
export type MembershipView = {
	self(): Member;
	/** All known members, this process included. */
	members(): readonly Member[];
	get(hostId: string): Member | undefined;
	/** Calls the listener on each change; the returned function ends it. */
	onChange(listener: MemberListener): () => void;
};

/** Unreliable datagrams between proxies. */
export type DatagramTransport = {
	/** Own `ip:port`. */
	readonly address: string;
	send(address: string, payload: Uint8Array): void;
	onReceive(listener: (fromAddress: string, payload: Uint8Array) => void): void;
	close(): Promise<void>;
};
