/* eslint no-await-in-loop: off, camelcase: off, no-unmodified-loop-condition: off */
// See finding.txt.
import {setTimeout as sleep} from 'node:timers/promises';
import {
	GroupStandin, heartbeatMs, Host, InstanceStandin, isTroubled, LineClient, nowS, RunLog, runCase, StoreStandin,
} from '../../lib/system.mjs';

const log = new RunLog(import.meta.dirname);
/** Kiambu-nets: one of its databases, 34 connections to an instance, 600 ms a promote; three of its nine hosts. */
const service = 'bookings-ledger';
const zones = ['kiambu-rd', 'ngong-rd', 'westlands'];
const maxConnections = 34;
const promotionMs = 600;
/** The path of one replica to the store is cut for 5 s at a time, which is the length that `kinds` names. */
const cutMs = 5000;
const cutCount = 3;
const betweenCutsMs = 100;
/** The first cut begins this long after a heartbeat, so that no heartbeat falls between two cuts. */
const cutAfterBeatMs = 300;
/** Then the other replica receives nothing, at most for the site file's 6 s, and the primary crashes meanwhile. */
const deafAfterMs = 9600;
const crashAfterMs = 11_500;
const maxDeafMs = 6000;

const hosts = [];
const instances = [];
/** Acknowledged commits: statement id and time of the acknowledgement. */
const acknowledged = new Map();
/** The instance is cut off from the store until this time. */
const cutFromStore = new Set();
const lastBeatMs = new Map();
let store;
let group;
let beats;
let isOver = false;
const lost = [];
let promotedId;

function heartbeat(instance, zone) {
	if (instance.isRunning && !cutFromStore.has(instance.id)) {
		store.put('servers', instance.id, {...instance.entry, zone});
		lastBeatMs.set(instance.id, performance.now());
	}
}

/** An entry is removed after three heartbeat intervals of silence. */
function expireEntries() {
	for (const name of store.names('servers')) {
		if (performance.now() - lastBeatMs.get(name) > 3 * heartbeatMs) {
			store.remove('servers', name);
			log.say(`the store removes the entry of ${name}, which it has not heard for three intervals`);
		}
	}
}

function statementIdsOf(head) {
	const ids = new Set();
	for (let entry = head; entry; entry = entry.previous) {
		for (const id of entry.statementIds) {
			ids.add(id);
		}
	}

	return ids;
}

/** Compares what the promoted instance has with what was acknowledged before, at the moment when the promotion takes effect. */
async function watchPromotion(id) {
	const {instance} = instances.find(candidate => candidate.instance.id === id);
	while (!isOver && instance.role !== 'primary') {
		await sleep(1);
	}

	const kept = statementIdsOf(instance.received);
	const missing = [...acknowledged.keys()].filter(statementId => !kept.has(statementId));
	log.say(`${id} leads term ${instance.term} with a log of ${instance.received.index} commits; ${missing.length} acknowledged commits are not in it`);
	lost.push(...missing);
}

async function runClient(name, host) {
	const client = new LineClient(host.ports.clients);
	await client.exchange(`STARTUP holds ${name}\r\n`);
	for (let round = 1; !isOver; round += 1) {
		const id = `${name}-${round}`;
		log.add(`sent     ${id}: WRITE i${round % 50} d${round}`);
		const answer = await client.query(`WRITE i${round % 50} d${round}`, id);
		log.add(`answered ${id}: ${answer}`);
		if (answer.startsWith('COMPLETE')) {
			acknowledged.set(id, nowS());
		}

		await sleep(100);
	}
}

await runCase(log, async () => {
	store = await StoreStandin.start();
	group = new GroupStandin(service);
	group.promotionDelayMs = promotionMs;
	for (const [index, zone] of zones.entries()) {
		const instance = await InstanceStandin.start({
			id: `i-${index + 1}`, role: index === 0 ? 'primary' : 'replica', group, maxConnections,
			onRun({instanceId, statementId, access, applied}) {
				log.add(`run      ${statementId} (${access}) at ${instanceId}, log at ${applied.term}.${applied.index}`);
			},
			onControl({instanceId, command, term, position}) {
				log.add(`control  ${command} ${Number.isNaN(term) ? '' : term} at ${instanceId}, log at ${position}`);
			},
		});
		instances.push({instance, zone});
	}

	store.onPromote = id => {
		log.say(`promotion of ${id} ordered, token ${store.promotions.at(-1).token}`);
		if (promotedId === undefined) {
			promotedId = id;
			watchPromotion(id);
		}

		return group.promote(id);
	};

	const beat = () => {
		for (const {instance, zone} of instances) {
			heartbeat(instance, zone);
		}
	};

	beat();
	beats = [setInterval(beat, heartbeatMs), setInterval(expireEntries, 50)];
	store.put('config', 'main', {
		config_version: 1,
		routes: [{
			name: 'r-holds', database: 'holds', path_prefix: '/', type: 'primary', timeout_ms: 1000, target_latency_ms: 200, priority: 1, service, attempts: 2,
		}],
		services: [{
			name: service, health_path: '/health', max_conns: maxConnections, sync_replicas: 1,
		}],
		limits: {tx_idle_ms: 3000},
	});
	for (const zone of zones) {
		hosts.push(await Host.create(`front-${zone}-1`, zone, store.port, (host, line) => {
			if (/"event":"(?:endpoint-gone|endpoint-appeared|departure-noted|promotion-[a-z]+|leader-changed)"/.test(line)) {
				log.add(`log of ${host.name}: ${line}`);
			}
		}));
	}

	for (const host of hosts) {
		host.start();
	}

	await Promise.all(hosts.map(async host => host.waitUntilReady()));
	await sleep(4000);
	const clients = hosts.flatMap(host => Array.from({length: 3}, async (_, index) => runClient(`${host.name}/c${index}`, host)));
	await sleep(11_000);
	const [primary, deaf, cut] = instances.map(({instance}) => instance);
	await sleep(Math.max(0, lastBeatMs.get(cut.id) + heartbeatMs + cutAfterBeatMs - performance.now()));
	const startedMs = performance.now();
	const until = async ms => sleep(Math.max(0, startedMs + ms - performance.now()));
	if (isTroubled) {
		const cuts = (async () => {
			for (let count = 0; count < cutCount; count += 1) {
				cutFromStore.add(cut.id);
				log.say(`${cut.id}, a replica, is cut off from the store`);
				await sleep(cutMs);
				cutFromStore.delete(cut.id);
				await sleep(betweenCutsMs);
			}
		})();
		await until(deafAfterMs);
		deaf.isReplicationBlocked = true;
		log.say(`${deaf.id}, the other replica, receives nothing; ${acknowledged.size} commits acknowledged so far`);
		await until(crashAfterMs);
		log.say(`${primary.id}, the primary, crashes; ${acknowledged.size} commits acknowledged so far; ${cut.id} has ${cut.received.index}, ${deaf.id} has ${deaf.received.index}`);
		await primary.crash();
		await until(deafAfterMs + maxDeafMs);
		deaf.isReplicationBlocked = false;
		await cuts;
	} else {
		await until(deafAfterMs + maxDeafMs);
	}

	await sleep(3000);
	isOver = true;
	await Promise.race([Promise.all(clients), sleep(2000)]);
	log.say(`${acknowledged.size} commits acknowledged in all, ${lost.length} of them lost by the promotion`);
	for (const id of lost.slice(0, 5)) {
		log.say(`  ${id}, acknowledged at ${acknowledged.get(id)}`);
	}

	return acknowledged.size < 100 ? 2 : (lost.length > 0 ? 1 : 0);
}, () => {
	isOver = true;
	for (const timer of beats ?? []) {
		clearInterval(timer);
	}

	for (const host of hosts) {
		host.cleanUp();
	}

	group?.stop();
});
