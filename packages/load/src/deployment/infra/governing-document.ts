import {
	createDocument, defaultDocument, sectionTexts, SystemTimerService,
} from '@dogwoodthread/coordination';
import {HttpPlatform} from '@dogwoodthread/proxy';
import {type DeploymentPlan} from '../definitions.js';

const timeoutMs = 5000;

/** Writes the first governing document, with the limits of the plan's instances. */
export const writeGoverningDocument = async (platformUrl: string, {databases, slots, maxConnections}: DeploymentPlan): Promise<void> => {
	const limits = Object.fromEntries(databases.map(database => [database, {slots, connections: maxConnections}]));
	const platform = new HttpPlatform({baseUrl: platformUrl, timeoutMs});
	const created = await createDocument({platform, timers: new SystemTimerService(), timeoutMs}, {
		sections: sectionTexts(defaultDocument(limits)), changeId: 'load-tool-initial', team: 'operations', author: 'load-tool', reason: 'Deployment of the load tool',
	});
	if (created.isErr()) {
		throw new Error(`The governing document was not accepted: ${created.error.message} ${JSON.stringify(created.error.mistakes ?? [])}`);
	}
};
