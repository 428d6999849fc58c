/** Detection of failed or draining primaries, and their replacement. */
export {
	leaseExpiryMs, PromotionLease, type PromotionLeaseOptions, type HeldLease,
} from './promotion-lease.js';
export {FailoverDriver, type FailoverDriverOptions} from './failover-driver.js';
export {BrokenLinks} from './broken-links.js';
export {OrderPrecedence} from './order-precedence.js';
export {LostWriteRecovery, type LostWriteRecoveryOptions} from './lost-write-recovery.js';
export {OrphanedFenceDetector} from './orphaned-fence-detector.js';
export {detectionMs, failoverReason} from './failover-reason.js';
export {ReplaceLeader, type ReplaceLeaderOptions} from './replace-leader.js';
export {
	hasReachedFloor, PromotionRecordStore, type PromotionRecord, type PromotionRecordStoreOptions, type RestoreOutcome,
} from './promotion-record-store.js';
export {UnseenOrders} from './unseen-orders.js';
export type {FailoverReason, PromotionCallError, PromotionService} from './definitions.js';
