/** What this host believes of the instances of each database. */
export {ContinuityClock} from './continuity-clock.js';
export {
	Group, leadershipEvidenceMs, type GroupOptions,
} from './group.js';
export {Member, type MemberOptions} from './member.js';
