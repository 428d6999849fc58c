import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

// Makes the collector callable without starting a second process with --expose-gc.
const exposeCollector = (): (() => void) => {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
};

/** Heap in use after a collection. */
export const heapUsedBytes = (): number => {
	const collect = exposeCollector();
	// The second run frees what finalizers of the first released.
	collect();
	collect();
	return process.memoryUsage().heapUsed;
};

/** Processor time of this process during the work, user and system, in µs. */
export const processorTimeUs = async (work: () => Promise<void> | void): Promise<number> => {
	const before = process.cpuUsage();
	await work();
	const {user, system} = process.cpuUsage(before);
	return user + system;
};
