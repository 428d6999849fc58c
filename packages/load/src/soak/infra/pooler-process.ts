import {spawn, type ChildProcess} from 'node:child_process';
import {
	closeSync, openSync, readFileSync, statSync,
} from 'node:fs';
import {fileURLToPath} from 'node:url';

export type PoolerProcessOptions = {
	settingsPath: string;
	logPath: string;
};

/** The program as it is deployed: one file, built by `npm run bundle`. It starts three times as fast as the modules that it is built from. */
const scriptPath = fileURLToPath(new URL('../../../../../target/dogwood-pooler.cjs', import.meta.url));
const restartDelayMs = 300;
const clockStepMs = 7000;

/** Preloaded into the process: SIGUSR2 steps its wall clock forward, and the next SIGUSR2 steps it back. */
const clockStepModule = `
const trueNow = Date.now;
let stepMs = 0;
Date.now = () => trueNow() + stepMs;
process.on('SIGUSR2', () => { stepMs = stepMs ? 0 : ${clockStepMs}; });
`;

/** A `dogwood-pooler` process that is restarted whenever it exits, as the platform does. */
export class PoolerProcess {
	/** Exit code or signal of each exit that was not requested. */
	readonly unexpectedExits: string[] = [];
	incarnation = 0;
	#child: ChildProcess | undefined;
	#shouldRestart = true;
	#isTerminationRequested = false;
	/** Offset in the log file, in bytes, at which the current incarnation starts. */
	#logStartOffset = 0;

	constructor(private readonly options: PoolerProcessOptions) {
		this.#start();
	}

	/** Sends a signal unless the process is still loading its modules: its handler is not installed yet, so the signal would end it. */
	signalIfLoaded(signal: 'SIGHUP' | 'SIGUSR2'): void {
		// Loading takes 0.2 s on an idle machine and several seconds on a busy one. The first log line is written after loading.
		const log = readFileSync(this.options.logPath).subarray(this.#logStartOffset).toString('utf8');
		if (log.includes('"process-started"')) {
			this.signal(signal);
		}
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	signal(signal: NodeJS.Signals): void {
		this.#isTerminationRequested ||= signal === 'SIGKILL' || signal === 'SIGTERM';
		this.#child?.kill(signal);
	}

	/** Kills the process and does not restart it. */
	async terminate(): Promise<void> {
		this.#shouldRestart = false;
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
		this.#logStartOffset = statSync(this.options.logPath).size;
		const child = spawn(process.execPath, [
			'--import', `data:text/javascript,${encodeURIComponent(clockStepModule)}`, scriptPath, '--settings', this.options.settingsPath,
		], {stdio: ['ignore', log, log]});
		closeSync(log);
		this.#child = child;
		this.incarnation += 1;
		this.#isTerminationRequested = false;
		child.once('exit', (code, signal) => {
			this.#child = undefined;
			if (!this.#isTerminationRequested) {
				this.unexpectedExits.push(signal ?? `exit code ${code}`);
			}

			if (this.#shouldRestart) {
				setTimeout(() => {
					if (this.#shouldRestart) {
						this.#start();
					}
				}, restartDelayMs);
			}
		});
	}
}
