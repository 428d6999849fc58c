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

const replicas = 2;
const promoteMs = 300;
const workMs = 4;
const applyMs = 20;
/** Every second instance gets the log in larger pieces, so that the replicas differ when the primary fails. */
const slowReceiveMs = 150;
/** An entry lapses after three silent heartbeat intervals of 1,200 ms. */
const lapseMs = 3600;
const reportIntervalMs = 50;

/** One service: three instances behind links, and their entries in the store. */
export class SoakGroup {
	readonly group: GroupStandin;
	members: LinkedInstance[] = [];
	#instancesStarted = 0;
	readonly #reported = new Map<string, string>();
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: SoakGroupOptions) {
		this.group = new GroupStandin(options.service);
		this.group.promotionDelayMs = promoteMs;
	}

	async start(): Promise<void> {
		for (let number = 0; number <= replicas; number += 1) {
			await this.#add(number === 0 ? 'primary' : 'replica');
		}

		this.#timer = setInterval(() => {
			this.#report();
		}, reportIntervalMs);
		this.#report();
	}

	async stop(): Promise<void> {
		clearInterval(this.#timer);
		this.group.stop();
		await Promise.all(this.members.map(async ({instance, link}) => {
			await link.stop();
			await instance.stop();
		}));
	}

	/** Crashes the instance and brings it back later; its entry lapses if that takes long. */
	async crash({instance}: LinkedInstance, durationMs: number): Promise<void> {
		await instance.crash();
		const lapse = setTimeout(() => {
			removeEndpoint(this.options.store, instance.id);
		}, lapseMs);
		await new Promise(resolve => {
			setTimeout(resolve, durationMs);
		});
		clearTimeout(lapse);
		await instance.restart();
		this.#reported.delete(instance.id);
	}

	/** Replaces a leaving instance by a new one at its address that has its log. */
	async replace(member: LinkedInstance, afterMs: number): Promise<void> {
		const {instance} = member;
		instance.state = 'draining';
		this.#report();
		await new Promise(resolve => {
			setTimeout(resolve, afterMs);
		});
		await instance.stop();
		removeEndpoint(this.options.store, instance.id);
		this.members = this.members.filter(other => other !== member);
		await member.link.stop();
		await this.#add(this.group.leader ? 'replica' : 'primary', instance);
	}

	async #add(role: 'primary' | 'replica', predecessor?: InstanceStandin): Promise<void> {
		this.#instancesStarted += 1;
		const {service, maxConnections, onRun, onControl} = this.options;
		const instance = await InstanceStandin.start({
			id: `${service}-${this.#instancesStarted}`, role, group: this.group, port: predecessor?.port, log: predecessor?.received, maxConnections, onRun, onControl,
			onStateChange: () => {
				this.#report();
			},
		});
		instance.statementDelayMs = workMs;
		instance.applyDelayMs = applyMs;
		instance.deliveryIntervalMs = this.#instancesStarted % 2 === 0 ? slowReceiveMs : 0;
		this.members.push({instance, link: await LinkProxy.start(instance.port)});
	}

	/** Writes the entries of instances whose role or state has changed. */
	#report(): void {
		for (const {instance, link} of this.members.filter(member => member.instance.isRunning)) {
			const state = `${instance.role} ${instance.state} ${instance.startedAtMs}`;
			if (this.#reported.get(instance.id) !== state && !instance.isIsolated) {
				this.#reported.set(instance.id, state);
				putEndpoint(this.options.store, instance, link.port);
			}
		}
	}
}
