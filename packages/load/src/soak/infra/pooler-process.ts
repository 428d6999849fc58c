import {spawn, type ChildProcess} from 'node:child_process';
import {
	closeSync, openSync, readFileSync, statSync,
} from 'node:fs';
import {fileURLToPath} from 'node:url';

export type PoolerProcessOptions = {
	settingsPath: string;
	logPath: string;
};

const scriptPath = fileURLToPath(import.meta.resolve('@dogwoodthread/platform/bin/dogwood-pooler.js'));
const restartDelayMs = 300;
const clockStepMs = 7000;

/** Loaded before the program: SIGUSR2 moves its time of day forward, and back again with the next one. */
const clockModule = `
const trueNow = Date.now;
let stepMs = 0;
Date.now = () => trueNow() + stepMs;
process.on('SIGUSR2', () => { stepMs = stepMs ? 0 : ${clockStepMs}; });
`;

/** One `dogwood-pooler` process that is started again when it ends, as the platform does. */
export class PoolerProcess {
	/** Ends that nobody asked for, with the exit code or the signal. */
	readonly crashes: string[] = [];
	incarnation = 0;
	#child: ChildProcess | undefined;
	#isWanted = true;
	#isEndRequested = false;
	/** Where the log of the present incarnation begins, in bytes. */
	#logStart = 0;

	constructor(private readonly options: PoolerProcessOptions) {
		this.#start();
	}

	/** Sends a signal that ends a process which is still loading its modules, unless it is. */
	signalIfLoaded(signal: 'SIGHUP' | 'SIGUSR2'): void {
		// Loading takes 0.2 s on an idle machine and several seconds on a busy one; the first log line comes after it.
		const log = readFileSync(this.options.logPath).subarray(this.#logStart).toString('utf8');
		if (log.includes('"process-started"')) {
			this.signal(signal);
		}
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	signal(signal: NodeJS.Signals): void {
		this.#isEndRequested ||= signal === 'SIGKILL' || signal === 'SIGTERM';
		this.#child?.kill(signal);
	}

	/** Ends the process for good. */
	async end(): Promise<void> {
		this.#isWanted = false;
		const child = this.#child;
		if (!child) {
			return;
		}

		await new Promise<void>(resolve => {
			child.once('exit', () => {
				resolve();
			});
			this.signal('SIGKILL');
		});
	}

	#start(): void {
		const log = openSync(this.options.logPath, 'a');
		this.#logStart = statSync(this.options.logPath).size;
		const child = spawn(process.execPath, [
			'--import', `data:text/javascript,${encodeURIComponent(clockModule)}`, scriptPath, '--settings', this.options.settingsPath,
		], {stdio: ['ignore', log, log]});
		closeSync(log);
		this.#child = child;
		this.incarnation += 1;
		this.#isEndRequested = false;
		child.once('exit', (code, signal) => {
			this.#child = undefined;
			if (!this.#isEndRequested) {
				this.crashes.push(signal ?? `exit code ${code}`);
			}

			if (this.#isWanted) {
				setTimeout(() => {
					if (this.#isWanted) {
						this.#start();
					}
				}, restartDelayMs);
			}
		});
	}
}
