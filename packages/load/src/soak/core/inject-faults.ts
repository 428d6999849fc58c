import {type StoreMode} from '@dogwoodthread/platform/standin';
import {type SoakHistory} from '../definitions.js';
import {type FaultTarget, type PlannedFault} from '../domain/fault-plan.js';
import {bounds} from '../domain/history-checks.js';
import {type LinkMode, type LinkProxy} from '../infra/link-proxy.js';
import {type SoakFleet, type SoakHost} from './soak-fleet.js';
import {type LinkedInstance, type SoakGroup} from './soak-group.js';

/** Time that a killed process takes to serve again, in ms. */
const restartMs = 2000;
const rollingGapMs = 1500;
const stormConfigurations = 12;
const stormGapMs = 120;
/** An instance that leaves serves a little longer than the bound. */
const leaveSlackMs = 2000;
const lostAnswers = 6;
const slowWorkMs = 300;
const workMs = 4;
const slowStoreMs = 600;

const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

type Strike = (fault: PlannedFault) => Promise<void>;

/** Carries out planned faults, undoes each when its time is over, and notes what was disturbed when. */
export class FaultInjector {
	readonly counts: Record<string, number> = {};
	readonly drained: Array<SoakHistory['drained'][number]> = [];
	readonly stops: Array<SoakHistory['stops'][number]> = [];
	readonly disturbances: Array<SoakHistory['disturbances'][number]> = [];
	readonly #strikes: Record<FaultTarget, Strike> = {
		host: async fault => this.#strikeHost(fault),
		storeLink: async fault => this.#strikeLink(this.#host(fault).storeLink, fault),
		clientLink: async fault => this.#strikeLink(this.#host(fault).clientLink, fault),
		instanceLink: async fault => this.#strikeLink(this.#member(fault).member.link, fault),
		store: async fault => this.#strikeStore(fault),
		instance: async fault => this.#strikeInstance(fault),
		fleet: async () => this.#killMany(),
		planned: async fault => this.#doPlannedWork(fault),
	};

	constructor(private readonly fleet: SoakFleet) {}

	/** Carries out the plan; resolves once the last fault is undone. */
	async run(faults: readonly PlannedFault[]): Promise<void> {
		const startedMs = performance.now();
		await Promise.all(faults.map(async fault => {
			await sleep(Math.max(0, startedMs + fault.atMs - performance.now()));
			const name = `${fault.target}/${fault.kind}`;
			this.counts[name] = (this.counts[name] ?? 0) + 1;
			const fromMs = performance.now();
			const span = {fromMs, untilMs: Number.POSITIVE_INFINITY};
			if (fault.target !== 'planned') {
				this.disturbances.push(span);
			}

			await this.#strikes[fault.target](fault);
			span.untilMs = performance.now();
		}));
	}

	async killAll(): Promise<void> {
		for (const {process} of this.fleet.hosts) {
			process.signal('SIGKILL');
		}
	}

	#host({victim}: PlannedFault): SoakHost {
		return this.fleet.hosts[victim % this.fleet.hosts.length]!;
	}

	#member({victim}: PlannedFault): {group: SoakGroup; member: LinkedInstance} {
		const group = this.fleet.groups[victim % this.fleet.groups.length]!;
		const leader = group.members.find(({instance}) => instance.role === 'primary');
		// Half of the faults strike the primary.
		return {group, member: victim % 4 < 2 && leader ? leader : group.members[victim % group.members.length]!};
	}

	async #strikeHost(fault: PlannedFault): Promise<void> {
		const {process} = this.#host(fault);
		if (fault.kind === 'kill') {
			process.signal('SIGKILL');
			await sleep(restartMs);
		} else if (fault.kind === 'pause') {
			process.signal('SIGSTOP');
			await sleep(fault.durationMs);
			process.signal('SIGCONT');
		} else {
			process.signalIfLoaded('SIGUSR2');
		}
	}

	async #strikeLink(link: LinkProxy, {kind, durationMs}: PlannedFault): Promise<void> {
		link.setMode(kind as LinkMode);
		await sleep(durationMs);
		link.setMode('pass');
	}

	async #strikeStore({kind, durationMs}: PlannedFault): Promise<void> {
		const {store} = this.fleet;
		switch (kind) {
			case 'silence-connections': {
				store.stopAnsweringOpenConnections();
				await sleep(durationMs);
				break;
			}

			case 'forget-history': {
				store.compactHistory();
				break;
			}

			case 'lose-answers': {
				store.writeFaults.push('done-then-reset', 'reset', 'busy', 'done-then-reset');
				await sleep(durationMs);
				store.writeFaults.length = 0;
				break;
			}

			case 'slow': {
				store.responseDelayMs = slowStoreMs;
				await sleep(durationMs);
				store.responseDelayMs = 0;
				break;
			}

			default: {
				store.mode = kind as StoreMode;
				await sleep(durationMs);
				store.mode = 'serving';
			}
		}
	}

	async #strikeInstance(fault: PlannedFault): Promise<void> {
		const {group, member} = this.#member(fault);
		const {instance} = member;
		switch (fault.kind) {
			case 'crash': {
				if (instance.isRunning) {
					await group.crash(member, fault.durationMs);
				}

				break;
			}

			case 'dark': {
				instance.isIsolated = true;
				await sleep(fault.durationMs);
				instance.isIsolated = false;
				break;
			}

			case 'deaf': {
				instance.isReplicationBlocked = true;
				await sleep(fault.durationMs);
				instance.isReplicationBlocked = false;
				break;
			}

			case 'lose-answers': {
				instance.answersToDrop = lostAnswers;
				await sleep(fault.durationMs);
				instance.answersToDrop = 0;
				break;
			}

			default: {
				instance.statementDelayMs = slowWorkMs;
				await sleep(fault.durationMs);
				instance.statementDelayMs = workMs;
			}
		}
	}

	async #killMany(): Promise<void> {
		await this.killAll();
		await sleep(restartMs);
	}

	async #doPlannedWork(fault: PlannedFault): Promise<void> {
		switch (fault.kind) {
			case 'stop': {
				await this.#stopHost(this.#host(fault));
				break;
			}

			case 'rolling-stop': {
				await Promise.all(this.fleet.hosts.map(async (host, index) => {
					await sleep(index * rollingGapMs);
					await this.#stopHost(host);
				}));
				break;
			}

			case 'reload': {
				this.#host(fault).process.signalIfLoaded('SIGHUP');
				break;
			}

			case 'drain-instance': {
				await this.#drainInstance(fault);
				break;
			}

			default: {
				await this.#changeConfiguration(fault.kind === 'add-database' ? 1 : stormConfigurations);
			}
		}
	}

	/** The platform sends SIGTERM once; a second one would end the process at once. */
	async #stopHost(host: SoakHost): Promise<void> {
		if (this.stops.some(({hostIndex, untilMs}) => hostIndex === host.index && untilMs === Number.POSITIVE_INFINITY)) {
			return;
		}

		const {incarnation} = host.process;
		const stop = {
			hostIndex: host.index, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY, wasKilled: false,
		};
		this.stops.push(stop);
		host.process.signal('SIGTERM');
		await sleep(bounds.graceMs);
		stop.untilMs = performance.now();
		if (host.process.incarnation === incarnation && host.process.isRunning) {
			stop.wasKilled = true;
			host.process.signal('SIGKILL');
		}
	}

	async #drainInstance(fault: PlannedFault): Promise<void> {
		const {group, member} = this.#member(fault);
		if (member.instance.state === 'ready' && member.instance.isRunning && group.members.every(({instance}) => instance.state === 'ready')) {
			this.drained.push({instanceId: member.instance.id, acknowledgedAtMs: performance.now()});
			await group.replace(member, bounds.drainMs + leaveSlackMs);
		}
	}

	async #changeConfiguration(count: number): Promise<void> {
		for (let number = 0; number < count; number += 1) {
			this.fleet.addDatabase();
			await sleep(stormGapMs);
		}
	}
}
