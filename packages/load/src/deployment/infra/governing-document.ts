import {
	createDocument, defaultDocument, stringifySections, SystemTimerService,
} from '@dogwoodthread/coordination';
import {HttpPlatform} from '@dogwoodthread/proxy';
import {type DeploymentPlan} from '../definitions.js';

const timeoutMs = 5000;

/** Work classes of the endpoint's statements; the two long ones run many times longer than the rest. */
const statements = {
	hold_lane: {workClass: 'critical'},
	pay_deposit: {workClass: 'critical'},
	amend_booking: {workClass: 'short'},
	cancel_booking: {workClass: 'short'},
	refund_run: {workClass: 'long'},
	get_booking: {workClass: 'short'},
	list_payments: {workClass: 'short'},
	lane_board: {workClass: 'browse'},
	reconcile_inventory: {workClass: 'long'},
} as const;

/** Writes the first governing document, with the limits of the plan's instances. */
export const writeGoverningDocument = async (platformUrl: string, {databases, slots, maxConnections}: DeploymentPlan): Promise<void> => {
	const limits = Object.fromEntries(databases.map(database => [database, {slots, connections: maxConnections}]));
	const platform = new HttpPlatform({baseUrl: platformUrl, timeoutMs});
	const sections = defaultDocument(limits);
	const created = await createDocument({platform, timers: new SystemTimerService(), timeoutMs}, {
		sections: stringifySections({...sections, applications: {...sections.applications, statements}}),
		changeId: 'load-tool-initial',
		team: 'operations',
		author: 'load-tool',
		reason: 'Deployment of the load tool',

	});
	if (created.isErr()) {
		throw new Error(`The governing document was not accepted: ${created.error.message} ${JSON.stringify(created.error.mistakes ?? [])}`);
	}
};
