import {type DeploymentPlan} from '../definitions.js';

/** Service times in ms: short work takes a few ms, the month-end runs many times longer. */
const serviceMs = {
	hold_lane: 3,
	pay_deposit: 3,
	amend_booking: 3,
	cancel_booking: 3,
	refund_run: 1500,
	get_booking: 1,
	lane_board: 2,
	list_payments: 1,
	reconcile_inventory: 1500,
};

const base = {
	instancesPerDatabase: 3,
	openDelayMs: 10,
	serviceMs,
	replicationDelayMs: 2,
	applyLagMs: 5,
	policy: 'fair',
} as const;

export type DeploymentName = 'kiambu' | 'molde' | 'demo';

/** Sizes of the two users' deployments; fewer proxies than theirs, so that a run fits one machine. */
export const deploymentPlans: Record<DeploymentName, DeploymentPlan> = {
	kiambu: {
		...base, databases: ['ledger-a', 'ledger-b', 'ledger-c'], proxies: 4, slots: 5, maxConnections: 35,
	},
	molde: {
		...base, databases: ['tins-a', 'tins-b', 'tins-c'], proxies: 4, slots: 2, maxConnections: 30,
	},
	demo: {
		...base, databases: ['ledger'], proxies: 3, slots: 5, maxConnections: 35,
	},
};

/** Failure domain of the n-th host; both users have four. */
export const failureDomainOf = (index: number): string => `fd-${(index % 4) + 1}`;
