/** The hosts of the deployment, and which of them hold how many connections to a service. */
export {Fleet, type FleetHost, type FleetOptions} from './fleet.js';
export {planHolders, type HolderPlan} from './holders.js';
