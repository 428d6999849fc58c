/* eslint no-await-in-loop: off, camelcase: off, "unicorn/no-process-exit": off, "n/prefer-global/process": off, "unicorn/no-await-expression-member": off */
// Shared by the scripts of review/: starts the platform's stand-ins in this process and the daemon's processes as the
// deploy file does, all on loopback addresses, and ends them again.
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {connect, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

export const root = path.resolve(import.meta.dirname, '../..');
export const {
	StoreStandin, GroupStandin, InstanceStandin, LineClient, formatSettings,
} = await import(path.join(root, 'platform/dist/standin/index.js'));

/** Whether the disruption takes place. */
export const isTroubled = process.env.TROUBLE !== '0';
export const startedAtMs = performance.now();
export const nowS = () => ((performance.now() - startedAtMs) / 1000).toFixed(3);

/** The bounds of the users' small deployments (`fleetbench wire`, settings on a front machine). */
export const bounds = {
	configurationMs: 3000, drainMs: 7000, stableMs: 4000, graceMs: 6000,
};

export const heartbeatMs = 1200;

/** A record of the run: lines are buffered and written at the end. */
export class RunLog {
	#lines = [];

	constructor(folder) {
		this.path = path.join(folder, 'record.txt');
		writeFileSync(this.path, '');
	}

	add(text) {
		this.#lines.push(`${nowS().padStart(8)} ${text}\n`);
	}

	say(text) {
		this.add(text);
		process.stdout.write(`${nowS().padStart(8)} ${text}\n`);
	}

	flush() {
		appendFileSync(this.path, this.#lines.splice(0).join(''));
	}
}

/** Ports below those that the system gives to outgoing connections, so that none is taken between this check and the start. */
const firstPort = 12_000;
const lastPort = 30_000;
let nextPort = firstPort + ((process.pid * 37) % (lastPort - firstPort));

const isFree = async port => new Promise(resolve => {
	const server = createServer();
	server.once('error', () => {
		resolve(false);
	}).listen({port, host: '127.0.0.1', exclusive: true}, () => {
		server.close(() => {
			resolve(true);
		});
	});
});

export const freePorts = async count => {
	const ports = [];
	while (ports.length < count) {
		nextPort = nextPort >= lastPort ? firstPort : nextPort + 1;
		if (await isFree(nextPort)) {
			ports.push(nextPort);
		}
	}

	return ports;
};

/** A TCP link that delays both directions by `delayMs`, as a network between zones does. Closes and resets pass through. */
export class SlowLink {
	#server;
	#sockets = new Set();

	static async start(targetPort, delayMs) {
		const link = new SlowLink();
		link.#server = createServer({allowHalfOpen: true, noDelay: true}, client => {
			const target = connect({
				port: targetPort, host: '127.0.0.1', allowHalfOpen: true, noDelay: true,
			});
			link.#join(client, target, delayMs);
			link.#join(target, client, delayMs);
		});
		await new Promise(resolve => {
			link.#server.listen(0, '127.0.0.1', resolve);
		});
		link.port = link.#server.address().port;
		return link;
	}

	#join(from, to, delayMs) {
		this.#sockets.add(from);
		const later = action => {
			setTimeout(() => {
				if (!to.destroyed) {
					action();
				}
			}, delayMs);
		};

		from.on('data', chunk => {
			later(() => to.write(chunk));
		});
		from.on('end', () => {
			later(() => to.end());
		});
		from.on('error', () => {
			later(() => to.resetAndDestroy());
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			later(() => to.destroy());
		});
	}

	stop() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}

/** One process of the daemon, started with the command of `deploy/system.toml`. */
export class Host {
	lines = [];
	exits = [];
	#folder;
	#child;
	#isWanted = false;

	constructor(options) {
		Object.assign(this, options);
		this.#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.settingsPath = path.join(this.#folder, 'local.yaml');
		writeFileSync(this.settingsPath, formatSettings(this.name, this.zone, this.ports, this.bounds ?? bounds));
	}

	static async create(name, zone, storePort, onLine) {
		const [clients, readiness, peers, metrics] = await freePorts(4);
		return new Host({
			name, zone, onLine, ports: {
				clients, readiness, peers, metrics, store: storePort,
			},
		});
	}

	get isRunning() {
		return this.#child !== undefined;
	}

	start() {
		this.#isWanted = true;
		const child = spawn('node', ['--max-old-space-size=200', 'target/dogwood-pooler.cjs'], {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, DOGWOODTHREAD_CONFIG: this.settingsPath},
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		let rest = '';
		child.stdout.on('data', data => {
			const lines = (rest + data).split('\n');
			rest = lines.pop();
			for (const line of lines) {
				this.onLine?.(this, line);
			}
		});
		let errors = '';
		child.stderr.on('data', data => {
			errors = (errors + data).slice(0, 4000);
		});
		child.on('exit', (code, signal) => {
			this.#child = undefined;
			const isOwnEnd = this.#isWanted;
			this.exits.push({
				at: nowS(), code, signal, isOwnEnd, errors,
			});
			this.onExit?.(this, {
				code, signal, isOwnEnd, errors,
			});
		});
	}

	async isReady() {
		try {
			return (await fetch(`http://127.0.0.1:${this.ports.readiness}/ready`, {signal: AbortSignal.timeout(1000)})).status === 200;
		} catch {
			return false;
		}
	}

	async waitUntilReady(timeoutMs = 20_000) {
		const deadlineMs = performance.now() + timeoutMs;
		while (!await this.isReady()) {
			if (performance.now() > deadlineMs) {
				throw new Error(`${this.name} does not get ready`);
			}

			await sleep(50);
		}
	}

	kill(signal = 'SIGKILL') {
		this.#isWanted = false;
		this.#child?.kill(signal);
	}

	cleanUp() {
		this.kill();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** Ends the script with 2 if it fails for another reason than the rule. */
export const runCase = async (log, main, cleanUp) => {
	let code = 2;
	const hardStop = setTimeout(() => {
		log.say('the case took too long');
		cleanUp();
		log.flush();
		process.exit(2);
	}, 114_000);
	try {
		code = await main();
	} catch (error) {
		log.say(`the case could not run: ${error.stack}`);
	}

	clearTimeout(hardStop);
	cleanUp();
	log.say(['0: the rule held', '1: the rule was broken', '2: the case could not run'][code]);
	log.flush();
	process.exit(code);
};
