/** Conversions between wire messages and domain values. */
export {toLogPosition, toMemberStatus} from './conversions.js';
