import {type GroupRecord, type OwnershipRecord, type PlatformHost} from '@dogwoodthread/coordination';
import {type PlatformFaults} from '../definitions.js';
import {requestJson} from './http-json.js';

/** Sets up the platform's stand-in and reads it back. */
export class PlatformClient {
	constructor(readonly baseUrl: string) {}

	async createGroup(record: GroupRecord): Promise<void> {
		await requestJson('PUT', `${this.baseUrl}/v1/objects/groups/${record.database}`, record, {'if-none-match': '*'});
	}

	async readGroup(database: string): Promise<GroupRecord> {
		return await requestJson('GET', `${this.baseUrl}/v1/objects/groups/${database}`) as GroupRecord;
	}

	async readOwners(database: string): Promise<OwnershipRecord> {
		return await requestJson('GET', `${this.baseUrl}/v1/objects/owners/${database}`) as OwnershipRecord;
	}

	async setHosts(hosts: PlatformHost[]): Promise<void> {
		await requestJson('PUT', `${this.baseUrl}/v1/hosts`, hosts);
	}

	async setFaults(faults: PlatformFaults): Promise<void> {
		await requestJson('PUT', `${this.baseUrl}/v1/faults`, faults);
	}
}
