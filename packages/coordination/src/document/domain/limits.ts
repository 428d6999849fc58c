/**
 * Largest total of the section texts, in bytes of JSON. 12,000 databases with two fields each need
 * about 0.5 MB; the difference and the recent changes share the platform's limit of 1 MiB.
 */
export const maxSectionsBytes = 640 * 1024;

/** Largest difference that one change may make, in bytes of JSON. */
export const maxDifferenceBytes = 256 * 1024;

/** Recent changes kept in the document; each takes at most about 1.2 KB, since its texts are bounded. */
export const maxRecentChanges = 64;

/** Connections that each rank keeps for its monitor stream and for probes and control. */
export const reservedConnectionsPerRank = 2;

/** Share of an instance's connections that rank 0 gets. */
export const firstRankShare = 0.6;

/** Share of an instance's connections that rank 1 and rank 2 get, each. */
export const lowerRankShare = 0.2;
