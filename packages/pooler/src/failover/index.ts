/** Replacement of primaries. */
export {DutyLease, type DutyLeaseOptions, type HeldLease} from './duty-lease.js';
export {FailoverDriver, type FailoverDriverOptions} from './failover-driver.js';
export {FenceWatch} from './fence-watch.js';
export {detectionMs, failoverReason} from './failover-reason.js';
export {ReplaceLeader, type ReplaceLeaderOptions} from './replace-leader.js';
export {reachesFloor, TermAnnouncements, type Announcement} from './term-announcements.js';
export type {FailoverReason, PromotionCallError, PromotionService} from './definitions.js';
