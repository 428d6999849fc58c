/** Kinds of datagrams. */
export const datagramKinds = ['ping', 'ack', 'pingRequest', 'exchange', 'push'] as const;

export type DatagramKind = (typeof datagramKinds)[number];

export type Traffic = {datagrams: number; bytes: number};

/** Counters since the start. */
export type GossipCounters = {
	sent: Record<DatagramKind, Traffic>;
	received: Record<DatagramKind, Traffic>;
	/** Datagrams that could not be decoded or had invalid fields. */
	badDatagrams: number;
	/** Datagrams of an earlier incarnation of their sender. */
	staleDatagrams: number;
	/** Members that did not answer this member's probes. */
	suspicionsRaised: number;
	/** Suspicions, raised here or learned, that the member refuted. */
	suspicionsRefuted: number;
	/** Suspicions that ran out here. */
	deathsDeclared: number;
	/** Dead members that turned out to be the same living process. */
	deathsRefuted: number;
	/** Times that this member refuted a claim about itself. */
	refutationsSent: number;
};

const noTraffic = (): Record<DatagramKind, Traffic> => ({
	ping: {datagrams: 0, bytes: 0},
	ack: {datagrams: 0, bytes: 0},
	pingRequest: {datagrams: 0, bytes: 0},
	exchange: {datagrams: 0, bytes: 0},
	push: {datagrams: 0, bytes: 0},
});

export const createCounters = (): GossipCounters => ({
	sent: noTraffic(),
	received: noTraffic(),
	badDatagrams: 0,
	staleDatagrams: 0,
	suspicionsRaised: 0,
	suspicionsRefuted: 0,
	deathsDeclared: 0,
	deathsRefuted: 0,
	refutationsSent: 0,
});

export const countTraffic = (traffic: Traffic, bytes: number): void => {
	traffic.datagrams += 1;
	traffic.bytes += bytes;
};
