import {type Deployment, type ProxyHandle} from '../../deployment/index.js';

/** The first running proxy in the acting order of the platform's ownership record. */
export const findActingOwner = async (deployment: Deployment, database: string): Promise<ProxyHandle> => {
	const record = await deployment.platform.readOwners(database);
	const owner = record.seats
		.map(({hostId}) => deployment.proxies.find(proxy => proxy.hostId === hostId && proxy.process.isRunning))
		.find(proxy => proxy !== undefined);
	if (!owner) {
		throw new Error(`The ownership record of ${database} names no running proxy: ${JSON.stringify(record)}`);
	}

	return owner;
};
