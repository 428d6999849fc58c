/** Settings of the failure detector; times in ms. */
export type GossipSettings = {
	probeIntervalMs: number;
	/** Time for a direct answer; indirect probes get twice as long. */
	probeTimeoutMs: number;
	indirectProbes: number;
	/** Time from suspicion to death in a fleet of up to 10 members. */
	suspicionTimeoutMs: number;
	exchangeIntervalMs: number;
	deadProbeIntervalMs: number;
	/** Time after which dead members are removed. */
	deadRetentionMs: number;
	maxDatagramBytes: number;
	/** Members that a new document version and a departure are announced to at once. */
	pushFanout: number;
	/** Time between pushes while updates wait to be sent. */
	pushIntervalMs: number;
	/** Bytes of pushes in a second, at most. */
	pushBytesPerSecond: number;
	/** Size of the members that one answer of an exchange holds, at most. */
	exchangeBytes: number;
	/** Members that are asked in one probe interval to confirm a state that another member contests. */
	maxVerificationsPerInterval: number;
};

export const defaultGossipSettings: GossipSettings = {
	probeIntervalMs: 1000,
	probeTimeoutMs: 300,
	indirectProbes: 3,
	suspicionTimeoutMs: 2000,
	exchangeIntervalMs: 30_000,
	deadProbeIntervalMs: 10_000,
	// Longer than regions are apart (minutes), short enough that a day's replaced hosts don't pile up.
	deadRetentionMs: 3_600_000,
	// Fits one Ethernet frame with room for tunnel headers, so that datagrams are not fragmented.
	maxDatagramBytes: 1200,
	pushFanout: 3,
	pushIntervalMs: 200,
	// With probes and exchanges this stays under 10 kB/s, also when a failure domain fails at once.
	pushBytesPerSecond: 3500,
	// An exchange each way then stays under 2 kB/s on average, also while most buckets differ. It fits the
	// default receive buffer of a Linux socket (208 KiB, where a datagram takes about 2.3 kB).
	exchangeBytes: 24_000,
	// About 100 bytes each.
	maxVerificationsPerInterval: 20,
};

/**
 * Time from suspicion to death. A refutation takes more gossip rounds in a larger fleet; a quarter of
 * the base for each factor of ten keeps 4,900 members under 1.7 times the base.
 */
export const suspicionTimeoutMs = (settings: GossipSettings, memberCount: number): number =>
	settings.suspicionTimeoutMs * (1 + (0.25 * Math.log10(Math.max(1, memberCount / 10))));

/**
 * Number of datagrams that each member sends an update with. Random targets leave a member out with a
 * probability of about e^-count; part of the datagrams are answers to members that know the update.
 */
export const retransmissions = (memberCount: number): number => Math.ceil(Math.log2(memberCount + 1)) + 4;
