/** Settings of the failure detector; times in ms. */
export type GossipSettings = {
	probeIntervalMs: number;
	/** Time limit for the answer to a direct probe; indirect probes get twice as long. */
	probeTimeoutMs: number;
	/** Members that are asked to probe a member that did not answer directly. */
	indirectProbeCount: number;
	/** Time from suspicion to death in a fleet of up to 10 members. */
	suspicionTimeoutMs: number;
	/** Time between table exchanges with a random member. */
	exchangeIntervalMs: number;
	/** Time between pings of a random dead member. */
	deadProbeIntervalMs: number;
	/** Time after which dead members are removed. */
	deadRetentionMs: number;
	maxDatagramBytes: number;
	/** Members that each push is sent to; a new document version and a departure are pushed immediately. */
	pushFanout: number;
	/** Time between pushes while updates are queued. */
	pushIntervalMs: number;
	/** Maximum rate of pushes. */
	pushBytesPerSecond: number;
	/** Maximum total size of the member entries in one exchange answer. */
	maxExchangeAnswerBytes: number;
	/** Maximum number of members asked per probe interval to confirm their state after a contradicting claim. */
	maxVerificationsPerInterval: number;
};

export const defaultGossipSettings: GossipSettings = {
	probeIntervalMs: 1000,
	probeTimeoutMs: 300,
	indirectProbeCount: 3,
	suspicionTimeoutMs: 2000,
	exchangeIntervalMs: 30_000,
	deadProbeIntervalMs: 10_000,
	// Longer than network partitions between regions last (minutes), and short enough that the hosts replaced in a day
	// don't accumulate.
	deadRetentionMs: 3_600_000,
	// Fits one Ethernet frame with room for tunnel headers, so that datagrams are not fragmented.
	maxDatagramBytes: 1200,
	pushFanout: 3,
	pushIntervalMs: 200,
	// Together with probes and exchanges this stays under 10 kB/s per member, also when a whole failure domain fails at once.
	pushBytesPerSecond: 3500,
	// Exchanges in both directions then average under 2 kB/s, even while most buckets differ. One answer fits the
	// default receive buffer of a Linux socket (208 KiB, of which each datagram takes about 2.3 kB).
	maxExchangeAnswerBytes: 24_000,
	// A verification takes about 100 bytes.
	maxVerificationsPerInterval: 20,
};

/**
 * Time from suspicion to death. A refutation takes more gossip rounds in a larger fleet; an additional quarter of
 * the base per factor of ten keeps the timeout under 1.7 times the base at 4,900 members.
 */
export const suspicionTimeoutMs = (settings: GossipSettings, memberCount: number): number =>
	settings.suspicionTimeoutMs * (1 + (0.25 * Math.log10(Math.max(1, memberCount / 10))));

/**
 * Number of datagrams in which each member sends an update. With random targets, the probability that a member
 * misses the update is about e^-limit; some of the datagrams are answers to members that already have it.
 */
export const transmissionLimit = (memberCount: number): number => Math.ceil(Math.log2(memberCount + 1)) + 4;
