import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {type ControlRecord, type RunRecord} from '@dogwoodthread/platform/standin';
import {SeededRandom} from '../../workload/index.js';
import {
	type ClientAttempt, type SoakHistory, type SoakOptions, type SoakReport, type Violation,
} from '../definitions.js';
import {planClosingFaults, planFaults} from '../domain/fault-plan.js';
import {bounds, checkHistory, isCalm} from '../domain/history-checks.js';
import {ConfigurationProbe} from './configuration-probe.js';
import {FaultInjector} from './inject-faults.js';
import {SoakClient} from './soak-client.js';
import {soakDatabases, SoakFleet} from './soak-fleet.js';

const clientsPerHost = 6;
/** With the smaller one, hosts forward statements as soon as there are more than four. */
const connectionLimits = [30, 14] as const;
const recoveryPollMs = 50;
/** After this, in ms, a service that has not recovered is given up. */
const recoveryGiveUpMs = 30_000;
const convergenceMs = 15_000;
/** Time after the last outage, and after the stable time that follows it, in which hosts are asked for the changes, in ms. */
const closingCheckMs = 1500;

const sleep = async (durationMs: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

/** Plays one seed: load and faults, then the loss of all processes, then the checks. */
export async function runSoak({seed, durationMs, hosts, folder, log}: SoakOptions): Promise<SoakReport> {
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
			number, hosts: fleet.hosts, databases: soakDatabases, random: random.fork(), onAttempt: attempt => attempts.push(attempt),
		});
		const clients = Array.from({length: hosts * clientsPerHost}, (_, number) => createClient(number));
		const running = Promise.all([probe.run(), ...clients.map(async client => client.run())]);
		const faults = planFaults(random.fork(), durationMs);
		log('faults begin', {faults: faults.length});
		await Promise.all([injector.run(faults), sleep(durationMs)]);
		log('all faults are healed; a last outage of the store');
		await playClosingFaults(injector, planClosingFaults(random.fork()));
		log('killing all processes');
		await injector.killAll();
		const recoveryMs = await measureRecovery(fleet, soakDatabases.map((_, index) => createClient(clients.length + index)));
		clients.map(client => {
			client.stop();
			return client;
		});
		probe.stop();
		await running;
		const hasConverged = await awaitConvergence(fleet);
		const history: SoakHistory = {
			attempts, runs, controls, databases: soakDatabases, drained: injector.drained, stops: injector.stops, disturbances: injector.disturbances,
			finalLogs: fleet.groups.map(({group}) => ({service: group.service, head: group.leader!.received})),
		};
		const violations: Violation[] = [
			...checkHistory(history),
			...probe.violations,
			...recoveryViolations(recoveryMs, hasConverged),
			...processViolations(fleet, injector),
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

/** Returns once the bound of the changes has held again for a while. */
async function playClosingFaults(injector: FaultInjector, {faults, healedAtMs}: ReturnType<typeof planClosingFaults>): Promise<void> {
	await Promise.all([injector.run(faults), sleep(healedAtMs + bounds.stableMs + closingCheckMs)]);
}

/** Time until each database has answered a write, in ms; one client asks for each. */
async function measureRecovery({hosts}: SoakFleet, clients: readonly SoakClient[]): Promise<number> {
	const startedMs = performance.now();
	await Promise.all(soakDatabases.map(async (database, index) => {
		for (let tries = 1; performance.now() - startedMs < recoveryGiveUpMs; tries += 1) {
			if (await clients[index]!.tryWrite(hosts[(index + tries) % hosts.length]!, database)) {
				return;
			}

			await sleep(recoveryPollMs);
		}
	}));
	return Math.round(performance.now() - startedMs);
}

async function awaitConvergence(fleet: SoakFleet): Promise<boolean> {
	const deadlineMs = performance.now() + convergenceMs;
	while (!fleet.groups.every(({group}) => group.isConverged) && performance.now() < deadlineMs) {
		await sleep(recoveryPollMs);
	}

	return fleet.groups.every(({group}) => group.isConverged);
}

function recoveryViolations(recoveryMs: number, hasConverged: boolean): Violation[] {
	const noRecovery = (detail: string): Violation => ({kind: 'no-recovery', statementId: '', detail});
	return [
		...(recoveryMs > bounds.recoveryMs ? [noRecovery(`not every database took a write within ${bounds.recoveryMs} ms (${recoveryMs} ms)`)] : []),
		...(hasConverged ? [] : [noRecovery('the instances of a service did not come to the same log')]),
	];
}

function processViolations({hosts}: SoakFleet, {stops, disturbances}: FaultInjector): Violation[] {
	const crashed = hosts.filter(({process}) => process.crashes.length > 0);
	const late = stops.filter(({wasKilled, fromMs, untilMs}) => wasKilled && isCalm({disturbances}, fromMs, untilMs));
	return [
		...crashed.map(({index, process}): Violation => ({kind: 'crash', statementId: '', detail: `host ${index} ended by itself: ${process.crashes.join(', ')}`})),
		...late.map(({hostIndex}): Violation => ({kind: 'late-stop', statementId: '', detail: `host ${hostIndex} still ran at the end of its grace`})),
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
		{
			drained, stops, disturbances, steadyZeroMs: performance.timeOrigin,
		},
		...controls.map(control => ({control})),
		...attempts.map(attempt => ({client: attempt})),
		...runs.map(({applied, ...run}) => ({instance: {...run, appliedTerm: applied.term, appliedIndex: applied.index}})),
	];
	await writeFile(path.join(folder, 'history.jsonl'), lines.map(line => `${JSON.stringify(line)}\n`).join(''));
}
