import {
	type GroupRecord, type ObjectKind, type OwnershipRecord, type PlatformHost, type PlatformObject,
} from '@dogwoodthread/coordination';
import {type PlatformFaults} from '../definitions.js';
import {requestJson} from './http-json.js';

/** Sets up the platform's stand-in and reads it back. */
export class PlatformClient {
	constructor(readonly baseUrl: string) {}

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

	/** Calls of all clients since the platform started. */
	async countCalls(): Promise<number> {
		const {calls} = await requestJson('GET', `${this.baseUrl}/v1/calls`) as {calls: Record<string, number>};
		return Object.values(calls).reduce((sum, count) => sum + count, 0);
	}

	async #readValue(kind: ObjectKind, name: string): Promise<unknown> {
		const object = await requestJson('GET', `${this.baseUrl}/v1/objects/${kind}/${name}`) as PlatformObject;
		return object.value;
	}
}
