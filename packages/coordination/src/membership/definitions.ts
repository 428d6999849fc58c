/**
 * - `alive`: answers probes.
 * - `suspect`: did not answer direct and indirect probes; can still refute the suspicion.
 * - `leaving`: is shutting down gracefully and accepts no new requests.
 * - `dead`: stayed suspect for the whole suspicion timeout, did not answer a probe while leaving, or announced that it stopped.
 */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** Entry of one proxy in the member table. */
export type Member = {
	hostId: string;
	/** Start time in ms since the Unix epoch. A later start of the same host is a new incarnation. */
	startedUnixMs: number;
	/** Counter that only the member itself increments, to refute a suspicion of this incarnation. */
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
	/** Calls the listener on each change; the returned function unsubscribes it. */
	onChange(listener: MemberListener): () => void;
};

/** Transport for datagrams between proxies; datagrams may be lost. */
export type DatagramTransport = {
	/** Own `ip:port`. */
	readonly address: string;
	send(address: string, payload: Uint8Array): void;
	onReceive(listener: (fromAddress: string, payload: Uint8Array) => void): void;
	close(): Promise<void>;
};
