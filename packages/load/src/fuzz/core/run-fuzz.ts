import {mkdtemp, rm} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	findDifference, GroupStandin, InstanceStandin, invalidText, putConfiguration, type RunRecord, SampleSource, type SentStatement, StoreStandin,
} from '@dogwoodthread/platform/standin';
import {SeededRandom} from '../../workload/index.js';
import {
	type Finding, type FindingKind, type FuzzOptions, type FuzzPlayer, type FuzzReport, type FuzzTarget,
} from '../definitions.js';
import {FuzzHost, memoryLimitMebibytes} from '../infra/fuzz-host.js';
import {fuzzPlayers} from './players.js';

const database = 'holds';
const service = 'ledger';
const hostCount = 2;
const playersAtOnce = 4;
const pollIntervalMs = 50;
const readyTimeoutMs = 40_000;
/** Ids of the statements of attacks whose effect is not compared. */
const unmodelledId = /^(large|peer)-/;
/** Ids that the clients give. A changed message between hosts may carry any other id. */
const clientId = /^(c|bad-)\d/;

const freePort = async (): Promise<number> => new Promise(resolve => {
	const server = createServer().listen(0, '127.0.0.1', () => {
		const {port} = server.address() as AddressInfo;
		server.close(() => {
			resolve(port);
		});
	});
});

/** Hosts as processes, the stand-ins around them, and what was found. */
class FuzzRun {
	readonly #findings: Finding[] = [];
	readonly #rounds: Record<string, number> = {};
	readonly #sent = new Map<string, SentStatement>();
	readonly #runs: RunRecord[] = [];
	readonly #hosts: FuzzHost[] = [];
	readonly #group = new GroupStandin(service);
	readonly #random: SeededRandom;
	#instances: InstanceStandin[] = [];
	#startedMs = 0;
	#peakMemoryMebibytes = 0;
	#lastNumber = 0;
	#isStopped = false;

	constructor(private readonly options: FuzzOptions, private readonly store: StoreStandin, private readonly folder: string) {
		this.#random = new SeededRandom(options.seed);
	}

	async play(): Promise<FuzzReport> {
		await this.#start();
		const watch = setInterval(() => {
			this.#watchHosts();
		}, pollIntervalMs);
		const {only} = this.options;
		const players = fuzzPlayers.filter(({name}) => only.length === 0 || only.includes(name));
		await Promise.all(Array.from({length: playersAtOnce}, async () => this.#playInTurn(players, this.#random.fork())));
		clearInterval(watch);
		this.#watchHosts();
		this.#compare();
		return this.#summarize();
	}

	async stop(): Promise<void> {
		await Promise.all(this.#hosts.map(async host => host.end()));
		this.#group.stop();
		await Promise.all(this.#instances.map(async instance => instance.stop()));
		await this.store.stop();
	}

	async #start(): Promise<void> {
		const onRun = (run: RunRecord) => this.#runs.push(run);
		this.#instances = await Promise.all([1, 2, 3].map(async number => InstanceStandin.start({
			id: `i-${number}`, role: number === 1 ? 'primary' : 'replica', group: this.#group, onRun,
		})));
		for (const instance of this.#instances) {
			this.store.put('servers', instance.id, instance.entry);
		}

		this.store.onPromote = instanceId => this.#group.promote(instanceId);
		putConfiguration(this.store, {
			version: 1, transactionIdleMs: 3000, services: [{service, maxConnections: 30, syncReplicas: 1}],
			routes: [{
				database, service, consistency: 'read-your-writes', maxStalenessMs: 2500, statementTimeoutMs: 2000, latencyObjectiveMs: 400, priority: 1,
			}],
		});
		for (let index = 1; index <= hostCount; index += 1) {
			const [clients, readiness, peers, metrics] = await Promise.all([freePort(), freePort(), freePort(), freePort()]);
			this.#hosts.push(new FuzzHost(`front-${index}`, {
				clients, readiness, peers, metrics, store: this.store.port,
			}, this.folder, line => {
				this.#readLogLine(line);
			}));
		}

		const deadlineMs = performance.now() + readyTimeoutMs;
		for (const host of this.#hosts) {
			while (!await host.isReady()) {
				if (performance.now() > deadlineMs) {
					throw new Error('A host was not ready in time; build the bundle with npm run bundle and look at the load of the machine.');
				}

				await sleep(pollIntervalMs);
			}
		}

		this.#startedMs = performance.now();
	}

	get #elapsedMs(): number {
		return Math.round(performance.now() - this.#startedMs);
	}

	/** No more is played once a process has ended: what follows from that would hide the cause. */
	get #isOver(): boolean {
		return this.#isStopped || this.#elapsedMs > this.options.durationMs;
	}

	#report(player: string, kind: FindingKind, detail: string): void {
		this.#findings.push({
			kind, player, atMs: this.#elapsedMs, detail,
		});
	}

	async #playInTurn(players: readonly FuzzPlayer[], random: SeededRandom): Promise<void> {
		while (!this.#isOver) {
			const player = random.pick(players)!;
			this.#rounds[player.name] = (this.#rounds[player.name] ?? 0) + 1;
			await player.play(this.#targetFor(player, random.fork()));
		}
	}

	#targetFor(player: FuzzPlayer, random: SeededRandom): FuzzTarget {
		return {
			random,
			ports: random.pick(this.#hosts)!.ports,
			database,
			isOver: () => this.#isOver,
			invalidTexts: new SampleSource(invalidText, random.int(0, 1_000_000_000)),
			recordSent: sent => {
				this.#recordSent(player.name, sent);
			},
			report: (kind, detail) => {
				this.#report(player.name, kind, detail);
			},
			withStoreAnswers: async (replace, run) => {
				this.store.replaceAnswer = (_call, answer) => replace(answer);
				await run();
				this.store.replaceAnswer = undefined;
			},
			withInstanceAnswers: async (replace, run) => {
				const instance = random.pick(this.#instances)!;
				instance.replaceAnswer = replace;
				await run();
				instance.replaceAnswer = undefined;
			},
			nextNumber: () => {
				this.#lastNumber += 1;
				return (this.options.seed * 100_000) + this.#lastNumber;
			},
		};
	}

	#recordSent(player: string, sent: ReadonlyMap<string, SentStatement>): void {
		for (const [id, statement] of sent) {
			this.#sent.set(id, statement);
			const {reply, text} = statement;
			if (reply.kind === 'lost' && reply.reason === 'timeout') {
				this.#report(player, 'unanswered', JSON.stringify(text.slice(0, 200)));
			} else if (reply.kind === 'refused' && reply.code === 'malformed' && !statement.isInTransaction) {
				this.#report(player, 'refused-valid', JSON.stringify(text.slice(0, 200)));
			}
		}
	}

	#readLogLine(line: string): void {
		if (line.includes('"unexpected-error"')) {
			this.#report('log', 'unexpected-error', line.slice(0, 500));
		}
	}

	#watchHosts(): void {
		for (const [index, host] of this.#hosts.entries()) {
			const {memoryMebibytes} = host;
			const hasGrownOver = memoryMebibytes > memoryLimitMebibytes && this.#peakMemoryMebibytes <= memoryLimitMebibytes;
			this.#peakMemoryMebibytes = Math.max(this.#peakMemoryMebibytes, memoryMebibytes);
			if (hasGrownOver) {
				this.#report('host', 'memory', `host ${index + 1} uses ${memoryMebibytes} MiB`);
			}

			if (host.exit !== undefined && !this.#isStopped) {
				this.#isStopped = true;
				this.#report('host', 'process-ended', `host ${index + 1}: ${host.exit}`);
			}
		}
	}

	#isCompared(statementId: string): boolean {
		return !unmodelledId.test(statementId) && (this.#rounds['peer-messages'] === undefined || clientId.test(statementId));
	}

	#compare(): void {
		for (const run of this.#runs.filter(({statementId}) => this.#isCompared(statementId))) {
			const difference = findDifference(this.#sent.get(run.statementId), run);
			if (difference) {
				this.#findings.push({
					kind: 'altered', player: 'instances', atMs: Math.round(run.ranAtMs - this.#startedMs), detail: difference,
				});
			}
		}

		const runsBySignature = new Map(this.#runs.map(run => [run.signature, run]));
		if (this.#rounds['instance-answers'] === undefined) {
			this.#compareAnswers();
		}

		for (const {line, reason, receivedAtMs} of this.#group.protocolViolations) {
			this.#findings.push({
				kind: 'malformed', player: 'instances', atMs: Math.round(receivedAtMs - this.#startedMs), detail: `${reason}: ${JSON.stringify(line.slice(0, 200))}`,
			});
		}
	}

	/** Does not hold for answers that were changed: a changed signature may be that of another run. */
	#compareAnswers(): void {
		const runsBySignature = new Map(this.#runs.map(run => [run.signature, run]));
		for (const [id, {reply, expected}] of this.#sent) {
			const run = reply.kind === 'done' ? runsBySignature.get(reply.signature) : undefined;
			if (expected && reply.kind === 'done' && run?.statementId !== id) {
				this.#report('text', 'other-answer', `${id} was answered with ${run ? `the run of ${run.statementId}` : 'success, but no instance ran it'}`);
			}
		}
	}

	#summarize(): FuzzReport {
		const findings = this.#findings.toSorted((a, b) => a.atMs - b.atMs);
		const firstFoundSeconds: Record<string, number> = {};
		const findingCounts: Record<string, number> = {};
		for (const {kind, atMs} of findings) {
			firstFoundSeconds[kind] ??= atMs / 1000;
			findingCounts[kind] = (findingCounts[kind] ?? 0) + 1;
		}

		return {
			seed: this.options.seed,
			seconds: this.#elapsedMs / 1000,
			rounds: this.#rounds,
			statements: this.#sent.size,
			served: [...this.#sent.values()].filter(({reply}) => reply.kind === 'done').length,
			unmodelledRuns: this.#runs.filter(({statementId}) => !this.#isCompared(statementId)).length,
			peakMemoryMebibytes: this.#peakMemoryMebibytes,
			findings,
			findingCounts,
			firstFoundSeconds,
			ok: findings.length === 0,
		};
	}
}

/** Plays one seed against two hosts, each a process. */
export async function runFuzz(options: FuzzOptions): Promise<FuzzReport> {
	const folder = await mkdtemp(path.join(tmpdir(), `dogwood-fuzz-${options.seed}-`));
	const run = new FuzzRun(options, await StoreStandin.start(), folder);
	try {
		options.log('starting', {seed: options.seed});
		return await run.play();
	} finally {
		await run.stop();
		await rm(folder, {recursive: true});
	}
}

export const fuzzPlayerNames: readonly string[] = [...new Set(fuzzPlayers.map(({name}) => name))];
