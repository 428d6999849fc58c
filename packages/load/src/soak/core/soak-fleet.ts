import {writeFile} from 'node:fs/promises';
import {createServer} from 'node:net';
import path from 'node:path';
import {
	type ControlRecord, putConfiguration, type RunRecord, formatSettings, type StoreCopy, StoreStandin,
} from '@dogwoodthread/platform/standin';
import {type SoakDatabase} from '../definitions.js';
import {bounds} from '../domain/history-checks.js';
import {LinkProxy} from '../infra/link-proxy.js';
import {PoolerProcess} from '../infra/pooler-process.js';
import {SoakGroup} from './soak-group.js';

export type SoakHost = {
	index: number;
	process: PoolerProcess;
	clientLink: LinkProxy;
	storeLink: LinkProxy;
	readinessPort: number;
};

export type SoakFleetOptions = {
	hosts: number;
	folder: string;
	/** Connection limit of each instance. With a low limit, hosts without a connection forward statements to hosts that hold one. */
	maxConnections: number;
	onRun: (record: RunRecord) => void;
	onControl: (record: ControlRecord) => void;
};

const services = ['ledger', 'boards'];
const consistencyLevels = [
	{consistency: 'primary', maxStalenessMs: 0},
	{consistency: 'bounded-staleness', maxStalenessMs: 1500},
	{consistency: 'read-your-writes', maxStalenessMs: 2500},
] as const;
const transactionIdleMs = 3000;
const statementTimeoutMs = 2000;
const latencyObjectiveMs = 400;
const readyPollMs = 50;
/** Below the ephemeral ports: an outgoing connection could otherwise occupy the port of a process that is down. */
const portRange = {first: 10_000, count: 22_000};

/** Databases that are configured throughout the run: one of each consistency level for each service. */
export const soakDatabases: readonly SoakDatabase[] = services.flatMap(service =>
	consistencyLevels.map(({consistency, maxStalenessMs}) => ({
		name: `${service}-${consistency}`, service, consistency, maxStalenessMs,
	})));

const isPortFree = async (port: number): Promise<boolean> => new Promise(resolve => {
	const server = createServer().once('error', () => {
		resolve(false);
	}).listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** Whether the host reports readiness; a process that does not listen yet is not ready. */
const isReady = async (port: number): Promise<boolean> => {
	try {
		const {status} = await fetch(`http://127.0.0.1:${port}/ready`);
		return status === 200;
	} catch {
		return false;
	}
};

/** The host processes and the stand-ins for their dependencies, connected by fault-injecting links. */
export class SoakFleet {
	readonly hosts: SoakHost[] = [];
	readonly groups: SoakGroup[] = [];
	/** Databases added during the run, with the monotonic time in ms at which the store acknowledged the change. */
	readonly addedDatabases = new Map<string, number>();
	promotions = 0;
	#store: StoreStandin | undefined;
	#configurationVersion = 1;
	#nextPort = portRange.first + Math.floor(Math.random() * portRange.count);

	constructor(private readonly options: SoakFleetOptions) {}

	get store(): StoreStandin {
		return this.#store!;
	}

	async start(): Promise<void> {
		const {options} = this;
		this.#store = await StoreStandin.start();
		this.store.onPromote = instanceId => {
			this.promotions += 1;
			return this.groups.some(({group}) => group.promote(instanceId));
		};

		for (const service of services) {
			const group = new SoakGroup({
				service, maxConnections: options.maxConnections, store: this.store, onRun: options.onRun, onControl: options.onControl,
			});
			await group.start();
			this.groups.push(group);
		}

		this.#writeConfiguration();
		for (let index = 0; index < options.hosts; index += 1) {
			this.hosts.push(await this.#createHost(index));
		}

		await Promise.all(this.hosts.map(async host => this.waitUntilReady(host)));
	}

	async stop(): Promise<void> {
		await Promise.all(this.hosts.map(async ({process}) => process.terminate()));
		await Promise.all(this.hosts.flatMap(({clientLink, storeLink}) => [clientLink.stop(), storeLink.stop()]));
		await Promise.all(this.groups.map(async group => group.stop()));
		await this.store.stop();
	}

	async waitUntilReady({readinessPort}: SoakHost): Promise<void> {
		while (!await isReady(readinessPort)) {
			await new Promise(resolve => {
				setTimeout(resolve, readyPollMs);
			});
		}
	}

	/** Publishes a configuration with one more database. */
	addDatabase(): void {
		this.addedDatabases.set(`added-${this.addedDatabases.size + 1}`, performance.now());
		this.#configurationVersion += 1 + (this.#configurationVersion % 3);
		this.#writeConfiguration();
	}

	/** Restores the store from a copy; the operator and the instances write again what they wrote since. */
	restoreStore(copy: StoreCopy): void {
		this.store.restore(copy);
		this.#writeConfiguration();
		for (const group of this.groups) {
			group.publishAgain();
		}
	}

	#writeConfiguration(): void {
		const databases: SoakDatabase[] = [
			...soakDatabases,
			...[...this.addedDatabases.keys()].map(name => ({
				name, service: services[0]!, consistency: 'primary' as const, maxStalenessMs: 0,
			})),
		];
		putConfiguration(this.store, {
			version: this.#configurationVersion,
			transactionIdleMs,
			routes: databases.map(({name, service, consistency, maxStalenessMs}) => ({
				database: name, service, consistency, maxStalenessMs, statementTimeoutMs, latencyObjectiveMs, priority: 1,
			})),
			services: services.map(service => ({service, maxConnections: this.options.maxConnections, syncReplicas: 1})),
		});
	}

	async #allocatePort(): Promise<number> {
		for (;;) {
			const port = portRange.first + (this.#nextPort % portRange.count);
			this.#nextPort += 1;
			if (await isPortFree(port)) {
				return port;
			}
		}
	}

	async #createHost(index: number): Promise<SoakHost> {
		const [clientPort, readinessPort, peerPort, metricsPort] = [await this.#allocatePort(), await this.#allocatePort(), await this.#allocatePort(), await this.#allocatePort()];
		const storeLink = await LinkProxy.start(this.store.port);
		const settingsPath = path.join(this.options.folder, `host-${index}.yaml`);
		const ports = {
			clients: clientPort, readiness: readinessPort, peers: peerPort, metrics: metricsPort, store: storeLink.port,
		};
		await writeFile(settingsPath, formatSettings(`host-${index}`, index % 2 === 0 ? 'a' : 'b', ports, bounds));
		return {
			index,
			process: new PoolerProcess({settingsPath, logPath: path.join(this.options.folder, `host-${index}.log`)}),
			clientLink: await LinkProxy.start(clientPort),
			storeLink,
			readinessPort,
		};
	}
}
