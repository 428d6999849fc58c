/* eslint no-await-in-loop: off, camelcase: off, no-unmodified-loop-condition: off */
// See finding.txt.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	GroupStandin, heartbeatMs, Host, InstanceStandin, isTroubled, LineClient, nowS, RunLog, runCase, StoreStandin,
} from '../../lib/system.mjs';

const log = new RunLog(import.meta.dirname);
const service = 'bookings-ledger';
const zones = ['kiambu-rd', 'ngong-rd', 'westlands'];
/** Rude clients at each of two hosts; the pages' largest count of such clients is 120 in a zone. */
const rudeClientsPerHost = 60;
const rudeHostCount = 2;
/** The rule's limit: three ends on each of two machines at least. */
const neededEnds = 3;
const restartDelayMs = 500;
const timeLimitMs = 95_000;
const quietTimeMs = 30_000;

const hosts = [];
const instances = [];
const rudeSockets = new Set();
let store;
let group;
let beats;
let isOver = false;
const answers = {done: 0, refused: 0, cut: 0};
let sentBytes = 0;

/** A client that reads and writes like any other, and connects again after its connection has ended. */
async function runClient(name, host) {
	for (let session = 1; !isOver; session += 1) {
		const client = new LineClient(host.ports.clients);
		let answer = await client.exchange(`STARTUP holds ${name}\r\n`);
		for (let round = 1; !isOver && answer.includes('READY'); round += 1) {
			const id = `${name}-${session}-${round}`;
			const text = round % 5 === 0 ? `WRITE i${round % 50} d${round}` : `READ i${round % 50}`;
			answer = await client.query(text, id);
			const kind = answer.includes('READY') ? (answer.startsWith('ERROR') ? 'refused' : 'done') : 'cut';
			answers[kind] += 1;
			if (kind === 'cut') {
				log.add(`cut      ${id} (${text}): ${answer}`);
			}

			await sleep(20);
		}

		client.destroy();
		await sleep(200);
	}
}

/** A client whose first message does not end. It goes on after the error, and does not close its side. */
function startRudeClient(host) {
	const socket = connect({port: host.ports.clients, host: '127.0.0.1', allowHalfOpen: true});
	rudeSockets.add(socket);
	const chunk = Buffer.alloc(65_536, 'a');
	const send = () => {
		while (!socket.destroyed) {
			sentBytes += chunk.length;
			if (!socket.write(chunk)) {
				return;
			}
		}
	};

	socket.on('data', data => {
		log.add(`answered to a rude client at ${host.name}: ${String(data).trim()}`);
	});
	socket.on('error', () => undefined);
	socket.on('drain', send);
	socket.on('close', () => {
		rudeSockets.delete(socket);
	});
	socket.write('STARTUP ');
	send();
}

await runCase(log, async () => {
	store = await StoreStandin.start();
	group = new GroupStandin(service);
	for (const [index, zone] of zones.entries()) {
		const instance = await InstanceStandin.start({
			id: `i-${index + 1}`, role: index === 0 ? 'primary' : 'replica', group, maxConnections: 34,
		});
		instances.push({instance, zone});
	}

	const beat = () => {
		for (const {instance, zone} of instances) {
			store.put('servers', instance.id, {...instance.entry, zone});
		}
	};

	beat();
	beats = setInterval(beat, heartbeatMs);
	store.put('config', 'main', {
		config_version: 1,
		routes: [{
			name: 'r-holds', database: 'holds', path_prefix: '/', type: 'read_your_writes', timeout_ms: 1000, target_latency_ms: 400, priority: 2, service, attempts: 2, max_staleness_ms: 2500,
		}],
		services: [{
			name: service, health_path: '/health', max_conns: 34, sync_replicas: 1,
		}],
		limits: {tx_idle_ms: 3000},
	});
	for (const zone of zones) {
		const host = await Host.create(`front-${zone}-1`, zone, store.port);
		host.onExit = (ended, {code, signal, isOwnEnd, errors}) => {
			if (isOver || !isOwnEnd) {
				return;
			}

			log.say(`${ended.name} ended by itself: code ${code}, signal ${signal}: ${errors.split('\n').find(line => line.includes('FATAL')) ?? errors.slice(0, 200)}`);
			setTimeout(() => {
				if (!isOver) {
					ended.start();
				}
			}, restartDelayMs);
		};

		hosts.push(host);
		host.start();
	}

	await Promise.all(hosts.map(async host => host.waitUntilReady()));
	const clients = hosts.flatMap(host => Array.from({length: 4}, async (_, index) => runClient(`${host.name}/c${index}`, host)));
	const rudeHosts = hosts.slice(0, rudeHostCount);
	await sleep(2000);
	const deadlineS = Number(nowS()) + ((isTroubled ? timeLimitMs : quietTimeMs) / 1000);
	const ownEnds = host => host.exits.filter(({isOwnEnd}) => isOwnEnd).length;
	const attack = async host => {
		while (Number(nowS()) < deadlineS && ownEnds(host) < neededEnds) {
			const ends = ownEnds(host);
			await host.waitUntilReady();
			log.say(`${rudeClientsPerHost} rude clients connect to ${host.name}`);
			for (let count = 0; count < rudeClientsPerHost; count += 1) {
				startRudeClient(host);
			}

			while (Number(nowS()) < deadlineS && ownEnds(host) === ends) {
				await sleep(100);
			}
		}
	};

	await (isTroubled ? Promise.all(rudeHosts.map(async host => attack(host))) : sleep(quietTimeMs));
	isOver = true;
	await Promise.race([Promise.all(clients), sleep(2000)]);
	for (const host of hosts) {
		log.say(`${host.name}: ended by itself ${ownEnds(host)} times`);
	}

	log.say(`other clients: ${answers.done} statements answered with success, ${answers.refused} refused, ${answers.cut} without an answer; rude clients wrote ${Math.round(sentBytes / 1e6)} MB`);
	return answers.done < 100 ? 2 : (hosts.filter(host => ownEnds(host) >= neededEnds).length >= rudeHostCount ? 1 : 0);
}, () => {
	isOver = true;
	clearInterval(beats);
	for (const socket of rudeSockets) {
		socket.destroy();
	}

	for (const host of hosts) {
		host.cleanUp();
	}

	group?.stop();
});
