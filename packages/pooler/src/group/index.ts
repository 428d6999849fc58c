/** The state of the instances of each database, as known to this host. */
export {ClockDiscontinuityDetector} from './clock-discontinuity-detector.js';
export {Group, type GroupOptions} from './group.js';
export {leadershipEvidenceTtlMs} from './leadership-proof.js';
export {Member, type MemberOptions} from './member.js';
export {
	holdsCommit, VoterSet, type VoterRecord, type VoterRecordPort, type VoterSetOptions,
} from './voter-set.js';
