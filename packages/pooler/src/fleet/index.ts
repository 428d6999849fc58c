/** The hosts of the system and what each may use. */
export {connectionShare} from './connection-share.js';
export {Fleet, type FleetHost, type FleetOptions} from './fleet.js';
