export const datagramKinds = ['ping', 'ack', 'pingRequest', 'exchange', 'push'] as const;

export type DatagramKind = (typeof datagramKinds)[number];

export type Traffic = {datagrams: number; bytes: number};

/** Counters since the process started. */
export type GossipCounters = {
	sent: Record<DatagramKind, Traffic>;
	received: Record<DatagramKind, Traffic>;
	/** Datagrams that could not be decoded or had invalid fields. */
	invalidDatagrams: number;
	/** Datagrams of an earlier incarnation of their sender. */
	staleDatagrams: number;
	/** Suspicions started because a member did not answer this member's probes. */
	suspicionsRaised: number;
	/** Suspicions, local or received, that the suspected member refuted. */
	suspicionsRefuted: number;
	/** Members declared dead here: after the suspicion timeout, or after an unanswered probe while leaving. */
	deathsDeclared: number;
	/** Members taken for dead whose process turned out to be running. */
	deathsRefuted: number;
	/** Times that this member refuted a claim about itself. */
	refutationsSent: number;
};

const createTrafficByKind = (): Record<DatagramKind, Traffic> => ({
	ping: {datagrams: 0, bytes: 0},
	ack: {datagrams: 0, bytes: 0},
	pingRequest: {datagrams: 0, bytes: 0},
	exchange: {datagrams: 0, bytes: 0},
	push: {datagrams: 0, bytes: 0},
});

export const createCounters = (): GossipCounters => ({
	sent: createTrafficByKind(),
	received: createTrafficByKind(),
	invalidDatagrams: 0,
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
