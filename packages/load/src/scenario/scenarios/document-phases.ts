import {type SectionName, sectionNames} from '@dogwoodthread/coordination';
import {type ProxyHandle} from '../../deployment/index.js';
import {type EditRecord} from '../../governing/index.js';
import {type DocumentRun} from './document-run.js';

type Phase = (run: DocumentRun) => Promise<void>;

const windowMs = 5000;

/** Outages are longer than an author's attempt (1.5 s), so that some attempts fail. */
const outageMs = 2500;

const pauseMs = 3000;

/** Far over the target; a version that takes longer fails the run. */
const inForceTimeoutMs = 30_000;

/** Restarts at a time in a rolling restart: one for up to 9 proxies. */
const proxiesPerRestart = 9;

const maxStartsAtOnce = 12;

const highestAccepted = (records: readonly EditRecord[]): number => Math.max(1, ...records.map(({acceptedVersion = 0}) => acceptedVersion));

const race = async ({editors}: DocumentRun, phase: string, sections: readonly SectionName[]): Promise<EditRecord[]> =>
	Promise.all(sections.map(async section => editors.edit(section, phase)));

/** Sections of one round: all of them, and the same ones again by a seeded choice. */
const mixedSections = ({random}: DocumentRun, extra: number): SectionName[] =>
	[...sectionNames, ...Array.from({length: extra}, () => random.pick(sectionNames) ?? 'databases')];

const settle = async ({observer, editors}: DocumentRun): Promise<number> =>
	observer.waitUntilInForce(highestAccepted(editors.records), inForceTimeoutMs);

/** Runs `work` and gives the proxies' calls to the platform per proxy and minute. */
const countCalls = async ({context, editors}: DocumentRun, work: () => Promise<void>): Promise<number> => {
	const {deployment, timers} = context;
	const start = {atMs: timers.nowMs(), calls: await deployment.platform.countCalls() - editors.calls};
	await work();
	const calls = await deployment.platform.countCalls() - editors.calls - start.calls;
	return Math.round(calls * 600_000 / (timers.nowMs() - start.atMs) / deployment.proxies.length) / 10;
};

const takeDown = async ({context, outages}: DocumentRun): Promise<() => Promise<void>> => {
	const {deployment, timers} = context;
	const outage = {fromMs: timers.nowMs(), toMs: Infinity};
	outages.push(outage);
	await deployment.platform.setFaults({down: true});
	return async () => {
		await deployment.platform.setFaults({});
		outage.toMs = timers.nowMs();
	};
};

const measureCalls: Phase = async run => {
	const {context} = run;
	await settle(run);
	const idle = await countCalls(run, async () => context.timers.sleep(windowMs));
	const duringEdits = await countCalls(run, async () => {
		const endMs = context.timers.nowMs() + windowMs;
		while (context.timers.nowMs() < endMs) {
			await race(run, 'race', mixedSections(run, run.random.int(1, 4)));
		}
	});
	context.report('platformCallsPerProxyPerMinute', {idle, duringEdits});
	await settle(run);
};

const outageBefore: Phase = async run => {
	const restore = await takeDown(run);
	const edits = race(run, 'outage-before', mixedSections(run, 1));
	await run.context.timers.sleep(outageMs);
	await restore();
	await edits;
	await settle(run);
};

const outageDuring: Phase = async run => {
	const edits = race(run, 'outage-during', mixedSections(run, 4));
	await run.context.timers.sleep(run.random.int(50, 200));
	const restore = await takeDown(run);
	await run.context.timers.sleep(outageMs);
	await restore();
	await edits;
	await settle(run);
};

const outageAfter: Phase = async run => {
	await race(run, 'outage-after', ['databases']);
	const restore = await takeDown(run);
	await run.context.timers.sleep(outageMs);
	await restore();
	await settle(run);
};

const lostAnswers: Phase = async run => {
	const {deployment, timers} = run.context;
	for (let round = 0; round < 3; round += 1) {
		await deployment.platform.setFaults({loseAnswers: run.random.int(2, 6)});
		await race(run, 'lost-answers', mixedSections(run, 2));
		await timers.sleep(run.random.int(0, 300));
	}

	await deployment.platform.setFaults({});
	await settle(run);
};

const stalledWatches: Phase = async run => {
	const {deployment, report} = run.context;
	await deployment.platform.setFaults({stallWatches: true});
	await race(run, 'stalled-watches', mixedSections(run, 1));
	report('inForceWhileStalledMs', await settle(run));
	await deployment.platform.setFaults({});
};

const pausedProxy: Phase = async run => {
	const {context, pauses, random} = run;
	const {deployment, timers, report} = context;
	const proxy = random.pick(deployment.proxies)!;
	const pause = {hostId: proxy.hostId, fromMs: timers.nowMs(), toMs: Infinity};
	pauses.push(pause);
	proxy.process.pause();
	try {
		await race(run, 'paused-proxy', mixedSections(run, 2));
		await timers.sleep(pauseMs);
	} finally {
		proxy.process.resume();
		pause.toMs = timers.nowMs();
	}

	report('inForceAfterPauseMs', await settle(run));
};

const rollingRestart: Phase = async run => {
	const {deployment} = run.context;
	const batchSize = Math.ceil(deployment.proxies.length / proxiesPerRestart);
	for (let first = 0; first < deployment.proxies.length; first += batchSize) {
		const batch = deployment.proxies.slice(first, first + batchSize);
		await Promise.all([
			race(run, 'rolling-restart', [run.random.pick(sectionNames)!, run.random.pick(sectionNames)!]),
			...batch.map(async proxy => {
				await deployment.terminate(proxy);
				await deployment.restartProxy(proxy.hostId);
			}),
		]);
		await settle(run);
	}

	await deployment.publishHosts();
};

/** The first starts alone; it is the seed of the others. */
const startAll = async ({context: {deployment}}: DocumentRun, proxies: readonly ProxyHandle[]): Promise<void> => {
	for (let first = 0; first < proxies.length; first += first === 0 ? 1 : maxStartsAtOnce) {
		await Promise.all(proxies.slice(first, first === 0 ? 1 : first + maxStartsAtOnce)
			.map(async ({hostId}) => deployment.restartProxy(hostId)));
	}
};

/**
 * No process has a document in memory and nobody can give one. The proxies must say that they are not
 * ready until the platform is back, and then have the version that was in force before.
 */
const restartAll: Phase = async run => {
	const {context, observer, violations} = run;
	const {deployment, timers, report} = context;
	const restore = await takeDown(run);
	const former = [...deployment.proxies];
	await Promise.all(former.map(async proxy => proxy.process.kill()));
	const restartedAtMs = timers.nowMs();
	await startAll(run, former);
	await timers.sleep(outageMs);
	const served = observer.observations.filter(({sentAtMs, ready, version}) => sentAtMs > restartedAtMs && (ready || version > 0));
	const silent = observer.latest().filter(found => found === undefined).length;
	violations.push(
		...served.length > 0 ? [`${served.length} answers of proxies without a document said that they are ready or have one`] : [],
		...silent > 0 ? [`${silent} proxies restarted without the platform did not answer`] : [],
	);
	await restore();
	report('readyAfterPlatformIsBackMs', await settle(run));
	await deployment.publishHosts();
	await race(run, 'after-restart', mixedSections(run, 1));
	await settle(run);
};

/** Parts of the scenario in their order. */
export const documentPhases: ReadonlyArray<readonly [name: string, phase: Phase]> = [
	['calls of idle proxies, then racing editors', measureCalls],
	['platform down before an edit', outageBefore],
	['platform down during edits', outageDuring],
	['platform down after an edit', outageAfter],
	['answers to edits are lost', lostAnswers],
	['watches stall', stalledWatches],
	['one proxy is paused', pausedProxy],
	['proxies restart one by one', rollingRestart],
	['all proxies restart while the platform is down', restartAll],
];
