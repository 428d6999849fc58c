import {
	createDocument, defaultDocument, sectionTexts, SystemTimerService, type GroupRecord, type ObjectKind, type OwnershipRecord, type PlatformHost, type PlatformObject,
} from '@dogwoodthread/coordination';
import {HttpPlatform} from '@dogwoodthread/proxy';
import {type PlatformFaults} from '../definitions.js';
import {requestJson} from './http-json.js';

const callTimeoutMs = 5000;

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

/** Sets up the platform's stand-in and reads it back. */
export class PlatformClient {
	constructor(readonly baseUrl: string) {}

	/** Writes the first governing document, with the limits of the deployment's databases. */
	async createDocument(databases: string[], limits: {slots: number; connections: number}): Promise<void> {
		const sections = defaultDocument(Object.fromEntries(databases.map(name => [name, limits])));
		const created = await createDocument({platform: new HttpPlatform({baseUrl: this.baseUrl, timeoutMs: callTimeoutMs}), timers: new SystemTimerService()}, {
			sections: sectionTexts({...sections, applications: {...sections.applications, statements}}),
			changeId: 'first', team: 'operations', author: 'load-tool', reason: 'first document',
		});
		if (created.isErr()) {
			throw new Error(`The governing document was not created: ${created.error.message}`);
		}
	}

	async createGroup(record: GroupRecord): Promise<void> {
		await requestJson('PUT', `${this.baseUrl}/v1/objects/groups/${record.database}`, record, {'if-none-match': '*'});
	}

	async readGroup(database: string): Promise<GroupRecord> {
		return await this.#readValue('groups', database) as GroupRecord;
	}

	async readOwners(database: string): Promise<OwnershipRecord> {
		return await this.#readValue('owners', database) as OwnershipRecord;
	}

	async setHosts(hosts: PlatformHost[]): Promise<void> {
		await requestJson('PUT', `${this.baseUrl}/v1/hosts`, hosts);
	}

	async setFaults(faults: PlatformFaults): Promise<void> {
		await requestJson('PUT', `${this.baseUrl}/v1/faults`, faults);
	}

	async #readValue(kind: ObjectKind, name: string): Promise<unknown> {
		const object = await requestJson('GET', `${this.baseUrl}/v1/objects/${kind}/${name}`) as PlatformObject;
		return object.value;
	}
}
