import {
	type ControlRecord, GroupStandin, InstanceStandin, putEndpoint, removeEndpoint, type RunRecord, type StoreStandin,
} from '@dogwoodthread/platform/standin';
import {LinkProxy} from '../infra/link-proxy.js';

export type SoakGroupOptions = {
	service: string;
	maxConnections: number;
	store: StoreStandin;
	onRun: (record: RunRecord) => void;
	onControl: (record: ControlRecord) => void;
};

export type LinkedInstance = {instance: InstanceStandin; link: LinkProxy};

const replicaCount = 2;
const promotionDelayMs = 300;
const statementDelayMs = 4;
const applyDelayMs = 20;
/** Every second instance receives the log in larger batches, so that the replicas have different logs when the primary fails. */
const slowDeliveryIntervalMs = 150;
/** The entry of an instance expires after three missed heartbeats, which have an interval of 1,200 ms. */
const endpointExpiryMs = 3600;
const publishIntervalMs = 50;

/** The three instances of one service, each behind a link, and their entries in the store. */
export class SoakGroup {
	readonly group: GroupStandin;
	members: LinkedInstance[] = [];
	#startedInstanceCount = 0;
	readonly #publishedStates = new Map<string, string>();
	#publishTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: SoakGroupOptions) {
		this.group = new GroupStandin(options.service);
		this.group.promotionDelayMs = promotionDelayMs;
	}

	async start(): Promise<void> {
		for (let index = 0; index <= replicaCount; index += 1) {
			await this.#addInstance(index === 0 ? 'primary' : 'replica');
		}

		this.#publishTimer = setInterval(() => {
			this.#publishChangedEndpoints();
		}, publishIntervalMs);
		this.#publishChangedEndpoints();
	}

	async stop(): Promise<void> {
		clearInterval(this.#publishTimer);
		this.group.stop();
		await Promise.all(this.members.map(async ({instance, link}) => {
			await link.stop();
			await instance.stop();
		}));
	}

	/** Crashes the instance and restarts it after `durationMs`. Its entry is removed if the restart comes after the expiry. */
	async crashAndRestart({instance}: LinkedInstance, durationMs: number): Promise<void> {
		await instance.crash();
		const expiryTimer = setTimeout(() => {
			removeEndpoint(this.options.store, instance.id);
		}, endpointExpiryMs);
		await new Promise(resolve => {
			setTimeout(resolve, durationMs);
		});
		clearTimeout(expiryTimer);
		await instance.restart();
		this.#publishedStates.delete(instance.id);
	}

	/** Drains the instance and then replaces it by a new one that listens on the same port and starts with its log. */
	async drainAndReplace(member: LinkedInstance, drainDurationMs: number): Promise<void> {
		const {instance} = member;
		instance.state = 'draining';
		this.#publishChangedEndpoints();
		await new Promise(resolve => {
			setTimeout(resolve, drainDurationMs);
		});
		await instance.stop();
		removeEndpoint(this.options.store, instance.id);
		this.members = this.members.filter(other => other !== member);
		await member.link.stop();
		await this.#addInstance(this.group.leader ? 'replica' : 'primary', instance);
	}

	/** Writes all entries after the store has lost some. Restored entries of instances that have ended expire. */
	publishAgain(): void {
		const {store, service} = this.options;
		this.#publishedStates.clear();
		this.#publishChangedEndpoints();
		setTimeout(() => {
			const present = new Set(this.members.map(({instance}) => instance.id));
			for (const name of store.names('servers').filter(id => id.startsWith(`${service}-`) && !present.has(id))) {
				removeEndpoint(store, name);
			}
		}, endpointExpiryMs).unref();
	}

	async #addInstance(role: 'primary' | 'replica', predecessor?: InstanceStandin): Promise<void> {
		this.#startedInstanceCount += 1;
		const {service, maxConnections, onRun, onControl} = this.options;
		const instance = await InstanceStandin.start({
			id: `${service}-${this.#startedInstanceCount}`, role, group: this.group, port: predecessor?.port, log: predecessor?.received, maxConnections, onRun, onControl,
			onStateChange: () => {
				this.#publishChangedEndpoints();
			},
		});
		instance.statementDelayMs = statementDelayMs;
		instance.applyDelayMs = applyDelayMs;
		instance.deliveryIntervalMs = this.#startedInstanceCount % 2 === 0 ? slowDeliveryIntervalMs : 0;
		this.members.push({instance, link: await LinkProxy.start(instance.port)});
	}

	/** Writes the entry of each running instance whose role, state or start time has changed. */
	#publishChangedEndpoints(): void {
		for (const {instance, link} of this.members.filter(member => member.instance.isRunning)) {
			const state = `${instance.role} ${instance.state} ${instance.startedAtMs}`;
			if (this.#publishedStates.get(instance.id) !== state && !instance.isIsolated) {
				this.#publishedStates.set(instance.id, state);
				putEndpoint(this.options.store, instance, link.port);
			}
		}
	}
}
