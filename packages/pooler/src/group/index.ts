/** What this host believes of the instances of each database. */
export {ContinuityClock} from './continuity-clock.js';
export {Group, type GroupOptions} from './group.js';
export {leadershipEvidenceMs} from './leadership-proof.js';
export {Member, type MemberOptions} from './member.js';
