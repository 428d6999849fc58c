/**
 * Maximum total size of the section texts as JSON. 12,000 databases with two fields each need about
 * 0.5 MB. The difference and the recent changes must fit into the same object, which the platform
 * limits to 1 MiB.
 */
export const maxSectionsBytes = 640 * 1024;

/** Maximum size of the difference that one change makes, as JSON. */
export const maxDifferenceBytes = 256 * 1024;

/** Recent changes kept in the document. Each takes at most about 1.2 KB, because the lengths of its texts are limited. */
export const maxRecentChanges = 64;
