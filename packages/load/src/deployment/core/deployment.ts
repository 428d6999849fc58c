import {randomBytes} from 'node:crypto';
import {ProcessSupervisor, type ProcessExit} from '../../process/index.js';
import {type DeploymentPlan, type EndpointHandle, type ProxyHandle} from '../definitions.js';
import {failureDomainOf} from '../domain/plans.js';
import {establishGroup} from '../infra/group-starter.js';
import {writeGoverningDocument} from '../infra/governing-document.js';
import {PlatformClient} from '../infra/platform-client.js';
import {ProgramStarter} from '../infra/program-starter.js';

/** Longer than the proxies' own limit for requests in flight. */
const terminateTimeoutMs = 30_000;

/** More processes that start at a time take longer than the time limit for one on a busy machine. */
const maxStartsAtOnce = 12;

const region = 'local';

/** A platform, the groups and the proxies of one plan as real processes on loopback. */
export class Deployment {
	readonly endpoints: EndpointHandle[] = [];
	readonly proxies: ProxyHandle[] = [];
	readonly #plan: DeploymentPlan;
	readonly #supervisor = new ProcessSupervisor();
	readonly #programs = new ProgramStarter(this.#supervisor);
	readonly #tokenKey = randomBytes(32).toString('hex');
	#platform: PlatformClient | undefined;

	constructor(plan: DeploymentPlan) {
		this.#plan = plan;
	}

	get plan(): DeploymentPlan {
		return this.#plan;
	}

	get platform(): PlatformClient {
		if (!this.#platform) {
			throw new Error('Start the deployment first.');
		}

		return this.#platform;
	}

	async start(): Promise<void> {
		const platform = await this.#programs.startWithArgs('platform', 'platform', ['--port', '0']);
		this.#platform = new PlatformClient(`http://${platform.ready.address}`);
		await writeGoverningDocument(this.platform.baseUrl, this.#plan);
		await Promise.all(this.#plan.databases.map(async (database, index) => this.#startGroup(database, index)));
		await this.publishHosts();
		await this.#startProxies();
		await this.publishHosts();
	}

	/** Starts a replacement of a proxy that has ended, under the same host id, on new ports. */
	async restartProxy(hostId: string): Promise<ProxyHandle> {
		const index = this.proxies.findIndex(proxy => proxy.hostId === hostId);
		const replacement = await this.#startProxy(index);
		this.proxies[index] = replacement;
		return replacement;
	}

	async terminate(proxy: ProxyHandle): Promise<ProcessExit> {
		return proxy.process.terminate(terminateTimeoutMs);
	}

	/** Writes the platform's list of hosts from what runs now. */
	async publishHosts(): Promise<void> {
		await this.platform.setHosts([
			...this.endpoints.map(endpoint => ({
				hostId: endpoint.memberId, role: 'endpoint' as const, address: endpoint.endpointAddress, failureDomain: endpoint.failureDomain, region, state: 'live' as const,
			})),
			...this.proxies.map(proxy => ({
				hostId: proxy.hostId, role: 'proxy' as const, address: proxy.callerAddress, failureDomain: proxy.failureDomain, region, state: 'live' as const,
			})),
		]);
	}

	/** Member that the platform's record names as the primary. */
	async primaryOf(database: string): Promise<EndpointHandle> {
		const record = await this.platform.readGroup(database);
		const primary = this.endpoints.find(endpoint => endpoint.database === database && endpoint.memberId === record.primary);
		if (!primary) {
			throw new Error(`The record of ${database} names ${record.primary}, which is not an endpoint of this deployment.`);
		}

		return primary;
	}

	endpointsOf(database: string): EndpointHandle[] {
		return this.endpoints.filter(endpoint => endpoint.database === database);
	}

	crashedProcesses(): string[] {
		return this.#supervisor.crashedProcesses();
	}

	async stop(): Promise<void> {
		await this.#supervisor.stopAll();
		await this.#programs.removeSettings();
	}

	async dumpLogs(): Promise<string> {
		return this.#supervisor.dumpLogs();
	}

	async #startGroup(database: string, groupIndex: number): Promise<void> {
		const members = Array.from({length: this.#plan.instancesPerDatabase}, (_, index) => index);
		const group = await Promise.all(members.map(async index =>
			this.#startEndpoint(database, `${database}-${index + 1}`, failureDomainOf(groupIndex + index))));
		this.endpoints.push(...group);
		await this.platform.createGroup(await establishGroup(group));
	}

	async #startEndpoint(database: string, memberId: string, failureDomain: string): Promise<EndpointHandle> {
		const {slots, maxConnections, openDelayMs, serviceMs, replicationDelayMs, applyLagMs} = this.#plan;
		const child = await this.#programs.startWithSettings('endpoint', memberId, {
			database, memberId, failureDomain, slots, maxConnections, openDelayMs, serviceMs, replicationDelayMs, applyLagMs,
		});
		const {endpointAddress = '', replicationAddress = '', controlAddress = ''} = child.ready;
		return {
			database, memberId, failureDomain, endpointAddress, replicationAddress, controlAddress, process: child,
		};
	}

	/** The first proxy starts alone; its gossip address is the seed of the others. */
	async #startProxies(): Promise<void> {
		this.proxies.push(await this.#startProxy(0));
		for (let first = 1; first < this.#plan.proxies; first += maxStartsAtOnce) {
			const length = Math.min(maxStartsAtOnce, this.#plan.proxies - first);
			this.proxies.push(...await Promise.all(Array.from({length}, async (_, offset) => this.#startProxy(first + offset))));
		}
	}

	async #startProxy(index: number): Promise<ProxyHandle> {
		const hostId = `proxy-${index + 1}`;
		const failureDomain = failureDomainOf(index);
		const child = await this.#programs.startWithSettings('proxy', hostId, {
			hostId,
			failureDomain,
			region,
			host: '127.0.0.1',
			callerPort: 0,
			peerPort: 0,
			gossipPort: 0,
			adminPort: 0,
			platformUrl: this.platform.baseUrl,
			seeds: this.proxies.filter(proxy => proxy.hostId !== hostId && proxy.process.isRunning).map(proxy => proxy.gossipAddress),
			databases: this.#plan.databases,
			tokenKey: this.#tokenKey,
			policy: this.#plan.policy,
		});
		const {callerAddress = '', gossipAddress = '', adminAddress = ''} = child.ready;
		return {
			hostId, failureDomain, callerAddress, gossipAddress, adminAddress, process: child,
		};
	}
}
