import {type StoreCopy, type StoreMode} from '@dogwoodthread/platform/standin';
import {type SoakHistory} from '../definitions.js';
import {type FaultTarget, type PlannedFault} from '../domain/fault-plan.js';
import {bounds} from '../domain/history-checks.js';
import {type LinkMode, type LinkProxy} from '../infra/link-proxy.js';
import {type SoakFleet, type SoakHost} from './soak-fleet.js';
import {type LinkedInstance, type SoakGroup} from './soak-group.js';

/** Time that a killed process takes until it serves again. */
const restartDurationMs = 2000;
const rollingStopIntervalMs = 1500;
const stormChangeCount = 12;
const configurationChangeIntervalMs = 120;
/** How long a draining instance keeps running beyond `bounds.drainMs`. */
const drainExtensionMs = 2000;
const droppedAnswerCount = 6;
const slowStatementDelayMs = 300;
const statementDelayMs = 4;
const slowStoreResponseDelayMs = 600;
const copyIntervalMs = 500;
/** Copies of the store up to 6 s old. */
const maxCopies = 12;

const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

type FaultAction = (fault: PlannedFault) => Promise<void>;

/** Injects the faults of a plan, ends each after its duration, and records the times at which faults were active. */
export class FaultInjector {
	readonly counts: Record<string, number> = {};
	readonly drained: Array<SoakHistory['drained'][number]> = [];
	readonly stops: Array<SoakHistory['stops'][number]> = [];
	readonly disturbances: Array<SoakHistory['disturbances'][number]> = [];
	readonly #actions: Record<FaultTarget, FaultAction> = {
		host: async fault => this.#injectHostFault(fault),
		storeLink: async fault => this.#injectLinkFault(this.#selectHost(fault).storeLink, fault),
		clientLink: async fault => this.#injectLinkFault(this.#selectHost(fault).clientLink, fault),
		instanceLink: async fault => this.#injectLinkFault(this.#selectMember(fault).member.link, fault),
		store: async fault => this.#injectStoreFault(fault),
		instance: async fault => this.#injectInstanceFault(fault),
		fleet: async () => this.#killAllHostsAndWait(),
		planned: async fault => this.#runPlannedOperation(fault),
	};

	#copies: StoreCopy[] = [];

	constructor(private readonly fleet: SoakFleet) {}

	/** Injects the faults at their planned times; resolves once all of them have ended. */
	async run(faults: readonly PlannedFault[]): Promise<void> {
		const startedMs = performance.now();
		const copyTimer = setInterval(() => {
			this.#copies = [...this.#copies, this.fleet.store.copy()].slice(-maxCopies);
		}, copyIntervalMs);
		await Promise.all(faults.map(async fault => {
			await sleep(Math.max(0, startedMs + fault.atMs - performance.now()));
			const name = `${fault.target}/${fault.kind}`;
			this.counts[name] = (this.counts[name] ?? 0) + 1;
			const fromMs = performance.now();
			const span = {fromMs, untilMs: Number.POSITIVE_INFINITY};
			if (fault.target !== 'planned') {
				this.disturbances.push(span);
			}

			await this.#actions[fault.target](fault);
			span.untilMs = performance.now();
		}));
		clearInterval(copyTimer);
	}

	async killAllHosts(): Promise<void> {
		for (const {process} of this.fleet.hosts) {
			process.signal('SIGKILL');
		}
	}

	#selectHost({targetIndex}: PlannedFault): SoakHost {
		return this.fleet.hosts[targetIndex % this.fleet.hosts.length]!;
	}

	#selectMember({targetIndex}: PlannedFault): {group: SoakGroup; member: LinkedInstance} {
		const group = this.fleet.groups[targetIndex % this.fleet.groups.length]!;
		const leader = group.members.find(({instance}) => instance.role === 'primary');
		// Half of the faults affect the primary.
		return {group, member: targetIndex % 4 < 2 && leader ? leader : group.members[targetIndex % group.members.length]!};
	}

	async #injectHostFault(fault: PlannedFault): Promise<void> {
		const {process} = this.#selectHost(fault);
		if (fault.kind === 'kill') {
			process.signal('SIGKILL');
			await sleep(restartDurationMs);
		} else if (fault.kind === 'pause') {
			process.signal('SIGSTOP');
			await sleep(fault.durationMs);
			process.signal('SIGCONT');
		} else {
			process.signalIfLoaded('SIGUSR2');
		}
	}

	async #injectLinkFault(link: LinkProxy, {kind, durationMs}: PlannedFault): Promise<void> {
		link.setMode(kind as LinkMode);
		await sleep(durationMs);
		link.setMode('pass');
	}

	async #injectStoreFault({kind, durationMs, targetIndex}: PlannedFault): Promise<void> {
		const {store} = this.fleet;
		switch (kind) {
			case 'silence-connections': {
				store.stopAnsweringOpenConnections();
				await sleep(durationMs);
				break;
			}

			case 'restored': {
				const copy = this.#copies[targetIndex % this.#copies.length] ?? store.copy();
				// Copies taken after this one belong to the history that is lost.
				this.#copies = [copy];
				store.mode = 'silent';
				await sleep(durationMs);
				this.fleet.restoreStore(copy);
				store.mode = 'serving';
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
				store.responseDelayMs = slowStoreResponseDelayMs;
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

	async #injectInstanceFault(fault: PlannedFault): Promise<void> {
		const {group, member} = this.#selectMember(fault);
		const {instance} = member;
		switch (fault.kind) {
			case 'crash': {
				if (instance.isRunning) {
					await group.crashAndRestart(member, fault.durationMs);
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
				instance.answersToDrop = droppedAnswerCount;
				await sleep(fault.durationMs);
				instance.answersToDrop = 0;
				break;
			}

			default: {
				instance.statementDelayMs = slowStatementDelayMs;
				await sleep(fault.durationMs);
				instance.statementDelayMs = statementDelayMs;
			}
		}
	}

	async #killAllHostsAndWait(): Promise<void> {
		await this.killAllHosts();
		await sleep(restartDurationMs);
	}

	async #runPlannedOperation(fault: PlannedFault): Promise<void> {
		switch (fault.kind) {
			case 'stop': {
				await this.#stopHost(this.#selectHost(fault));
				break;
			}

			case 'rolling-stop': {
				await Promise.all(this.fleet.hosts.map(async (host, index) => {
					await sleep(index * rollingStopIntervalMs);
					await this.#stopHost(host);
				}));
				break;
			}

			case 'reload': {
				this.#selectHost(fault).process.signalIfLoaded('SIGHUP');
				break;
			}

			case 'drain-instance': {
				await this.#drainInstance(fault);
				break;
			}

			default: {
				await this.#addDatabases(fault.kind === 'add-database' ? 1 : stormChangeCount);
			}
		}
	}

	/** Does nothing if the host is stopping already: the platform sends SIGTERM once, and a second one would end the process immediately. */
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
		const {group, member} = this.#selectMember(fault);
		if (member.instance.state === 'ready' && member.instance.isRunning && group.members.every(({instance}) => instance.state === 'ready')) {
			this.drained.push({instanceId: member.instance.id, acknowledgedAtMs: performance.now()});
			await group.drainAndReplace(member, bounds.drainMs + drainExtensionMs);
		}
	}

	async #addDatabases(count: number): Promise<void> {
		for (let number = 0; number < count; number += 1) {
			this.fleet.addDatabase();
			await sleep(configurationChangeIntervalMs);
		}
	}
}
