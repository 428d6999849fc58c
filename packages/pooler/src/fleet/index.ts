/** The hosts of the system and what each may use. */
export {Fleet, type FleetHost, type FleetOptions} from './fleet.js';
export {planHolders, type HolderPlan} from './holders.js';
