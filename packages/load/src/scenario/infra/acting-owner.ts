import {type Deployment, type ProxyHandle} from '../../deployment/index.js';

type OwnersRecord = {ranks: Array<{rank: number; hostId: string}>};

/** The live proxy with the lowest rank in the platform's ownership record. */
export const findActingOwner = async (deployment: Deployment, database: string): Promise<ProxyHandle> => {
	const record = await deployment.platform.readObject('owners', database) as OwnersRecord;
	const owner = [...record.ranks].sort((a, b) => a.rank - b.rank)
		.map(({hostId}) => deployment.proxies.find(proxy => proxy.hostId === hostId && proxy.process.isRunning))
		.find(proxy => proxy !== undefined);
	if (!owner) {
		throw new Error(`The ownership record of ${database} names no running proxy: ${JSON.stringify(record)}`);
	}

	return owner;
};
