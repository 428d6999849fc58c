import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {type ControlRecord, type RunRecord} from '@dogwoodthread/platform/standin';
import {SeededRandom} from '../../workload/index.js';
import {
	type ClientAttempt, type SoakHistory, type SoakOptions, type SoakReport, type Violation,
} from '../definitions.js';
import {planFinalFaults, planFaults, planRestores} from '../domain/fault-plan.js';
import {
	bounds, checkFencingTokens, checkSoakHistory, isUndisturbed,
} from '../domain/history-checks.js';
import {ConfigurationProbe} from './configuration-probe.js';
import {FaultInjector} from './fault-injector.js';
import {SoakClient} from './soak-client.js';
import {soakDatabases, SoakFleet} from './soak-fleet.js';

const clientsPerHost = 6;
/** With the lower limit, hosts forward statements as soon as there are more than four hosts. */
const connectionLimits = [30, 14] as const;
const recoveryPollMs = 50;
/** Time after which the run stops waiting for a database to recover. */
const recoveryTimeoutMs = 30_000;
const convergenceTimeoutMs = 15_000;
/** How long hosts are probed for the final configuration changes, counted from `bounds.stableMs` after the final outage. */
const finalProbeDurationMs = 1500;

const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

/** Runs one seed: load under random faults, a final outage of the store, a kill of all processes, then the checks. */
export async function runSoak({seed, durationMs, hosts, restores, folder, log}: SoakOptions): Promise<SoakReport> {
	const random = new SeededRandom(seed);
	const attempts: ClientAttempt[] = [];
	const runs: RunRecord[] = [];
	const controls: ControlRecord[] = [];
	const fleet = new SoakFleet({
		hosts, folder, maxConnections: random.pick(connectionLimits)!, onRun: run => runs.push(run), onControl: record => controls.push(record),
	});
	try {
		await fleet.start();
		const injector = new FaultInjector(fleet);
		const probe = new ConfigurationProbe(fleet, injector);
		const createClient = (number: number) => new SoakClient({
			clientNumber: number, hosts: fleet.hosts, databases: soakDatabases, random: random.fork(), onAttempt: attempt => attempts.push(attempt),
		});
		const clients = Array.from({length: hosts * clientsPerHost}, (_, number) => createClient(number));
		const activity = Promise.all([probe.run(), ...clients.map(async client => client.run())]);
		const faults = [...planFaults(random.fork(), durationMs), ...planRestores(new SeededRandom(seed + 1), durationMs, restores)];
		log('injecting faults', {faults: faults.length});
		await Promise.all([injector.run(faults), sleep(durationMs)]);
		log('all random faults have ended; injecting the final outage of the store');
		await runFinalFaults(injector, planFinalFaults(random.fork()));
		log('killing all processes');
		await injector.killAllHosts();
		const recoveryMs = await measureRecovery(fleet, soakDatabases.map((_, index) => createClient(clients.length + index)));
		clients.map(client => {
			client.stop();
			return client;
		});
		probe.stop();
		await activity;
		const hasConverged = await waitForConvergence(fleet);
		const history: SoakHistory = {
			attempts, runs, controls, databases: soakDatabases, drained: injector.drained, stops: injector.stops, disturbances: injector.disturbances,
			protocolViolations: fleet.groups.flatMap(({group}) => group.protocolViolations),
			finalLogs: fleet.groups.map(({group}) => ({service: group.service, head: group.leader!.received})),
		};
		const violations: Violation[] = [
			...checkSoakHistory(history),
			...probe.violations,
			...recoveryViolations(recoveryMs, hasConverged),
			...processViolations(fleet, injector),
			...checkFencingTokens(fleet.store.promotions.map(({holder, token}) => ({holder: String(holder), token: Number(token)}))),
		];
		const report = summarize({
			seed, hosts, minutes: durationMs / 60_000, faults: injector.counts, promotions: fleet.promotions, recoveryMs, violations,
		}, attempts);
		if (!report.ok) {
			await writeHistory(folder, history, report);
		}

		return report;
	} finally {
		await fleet.stop();
	}
}

/** Resolves once hosts have been probed for a while after the time limit of the configuration changes applies again. */
async function runFinalFaults(injector: FaultInjector, {faults, outageEndMs}: ReturnType<typeof planFinalFaults>): Promise<void> {
	await Promise.all([injector.run(faults), sleep(outageEndMs + bounds.stableMs + finalProbeDurationMs)]);
}

/** Returns the time in ms until every database has acknowledged a write. Each database has a client of its own. */
async function measureRecovery({hosts}: SoakFleet, clients: readonly SoakClient[]): Promise<number> {
	const startedMs = performance.now();
	await Promise.all(soakDatabases.map(async (database, index) => {
		for (let tries = 1; performance.now() - startedMs < recoveryTimeoutMs; tries += 1) {
			if (await clients[index]!.tryWrite(hosts[(index + tries) % hosts.length]!, database)) {
				return;
			}

			await sleep(recoveryPollMs);
		}
	}));
	return Math.round(performance.now() - startedMs);
}

async function waitForConvergence(fleet: SoakFleet): Promise<boolean> {
	const deadlineMs = performance.now() + convergenceTimeoutMs;
	while (!fleet.groups.every(({group}) => group.isConverged) && performance.now() < deadlineMs) {
		await sleep(recoveryPollMs);
	}

	return fleet.groups.every(({group}) => group.isConverged);
}

function recoveryViolations(recoveryMs: number, hasConverged: boolean): Violation[] {
	const createRecoveryViolation = (detail: string): Violation => ({kind: 'no-recovery', statementId: '', detail});
	return [
		...(recoveryMs > bounds.recoveryMs ? [createRecoveryViolation(`not every database acknowledged a write within ${bounds.recoveryMs} ms (took ${recoveryMs} ms)`)] : []),
		...(hasConverged ? [] : [createRecoveryViolation('the instances of a service did not converge to the same log')]),
	];
}

function processViolations({hosts}: SoakFleet, {stops, disturbances}: FaultInjector): Violation[] {
	const crashed = hosts.filter(({process}) => process.unexpectedExits.length > 0);
	const killedStops = stops.filter(({wasKilled, fromMs, untilMs}) => wasKilled && isUndisturbed({disturbances}, fromMs, untilMs));
	return [
		...crashed.map(({index, process}): Violation => ({kind: 'crash', statementId: '', detail: `host ${index} exited unexpectedly: ${process.unexpectedExits.join(', ')}`})),
		...killedStops.map(({hostIndex}): Violation => ({kind: 'late-stop', statementId: '', detail: `host ${hostIndex} was still running at the end of its grace period`})),
	];
}

function summarize(run: Pick<SoakReport, 'seed' | 'hosts' | 'minutes' | 'faults' | 'promotions' | 'recoveryMs' | 'violations'>, attempts: readonly ClientAttempt[]): SoakReport {
	const count = (outcome: ClientAttempt['outcome']) => attempts.filter(attempt => attempt.outcome === outcome).length;
	return {
		...run, attempts: attempts.length, served: count('done'), refused: count('promised-not-run'), unknown: count('unknown'), ok: run.violations.length === 0,
	};
}

async function writeHistory(folder: string, {attempts, runs, controls, drained, stops, disturbances}: SoakHistory, report: SoakReport): Promise<void> {
	const lines = [
		report,
		// `steadyZeroMs` converts the monotonic times of the history to wall-clock times: it is the Unix time of their zero.
		{
			drained, stops, disturbances, steadyZeroMs: performance.timeOrigin,
		},
		...controls.map(control => ({control})),
		...attempts.map(attempt => ({client: attempt})),
		...runs.map(({applied, ...run}) => ({instance: {...run, appliedTerm: applied.term, appliedIndex: applied.index}})),
	];
	await writeFile(path.join(folder, 'history.jsonl'), lines.map(line => `${JSON.stringify(line)}\n`).join(''));
}
