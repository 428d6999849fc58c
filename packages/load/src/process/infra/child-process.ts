import {spawn, type ChildProcessByStdio} from 'node:child_process';
import {type Readable} from 'node:stream';
import {
	type ManagedProcess, type ProcessExit, type ProcessSpec, type ReadyLine,
} from '../definitions.js';
import {LogRing} from '../domain/log-ring.js';

/** Enough to hold the log lines around a failed step without keeping a whole run. */
const maxLogLines = 2000;

type Child = ChildProcessByStdio<null, Readable, Readable>;

const parseReadyLine = (line: string): ReadyLine | undefined => {
	try {
		const value = JSON.parse(line) as Partial<ReadyLine>;
		return value.event === 'ready' ? value as ReadyLine : undefined;
	} catch {
		return undefined;
	}
};

/** A Node.js process started by this one. It is ended by its id only. */
export class NodeChildProcess implements ManagedProcess {
	readonly name: string;
	readonly exited: Promise<ProcessExit>;
	/** Resolves with the ready line; rejects if the process ends first or is too slow. */
	readonly started: Promise<ReadyLine>;
	#ready: ReadyLine = {event: 'ready'};
	#isRunning = true;
	#isEndRequested = false;
	readonly #child: Child;
	/** One ring for each output: a line cut between two chunks must not mix with the other output. */
	readonly #logs: {stdout: LogRing; stderr: LogRing};

	constructor(spec: ProcessSpec) {
		this.name = spec.name;
		this.#child = spawn(process.execPath, [spec.scriptPath, ...spec.args], {stdio: ['ignore', 'pipe', 'pipe']});
		this.exited = new Promise(resolve => {
			const finish = (exit: ProcessExit) => {
				this.#isRunning = false;
				resolve(exit);
			};

			this.#child.once('exit', (code, signal) => {
				finish({code: code ?? undefined, signal: signal ?? undefined});
			});
			this.#child.once('error', () => {
				finish({code: 1});
			});
		});
		let readyLine: (line: ReadyLine) => void = () => undefined;
		const ready = new Promise<ReadyLine>(resolve => {
			readyLine = resolve;
		});
		const stdout = new LogRing(maxLogLines, line => {
			const parsed = parseReadyLine(line);
			if (parsed) {
				readyLine(parsed);
			}
		});
		this.#logs = {stdout, stderr: new LogRing(maxLogLines)};
		this.#collectOutput();
		this.started = this.#waitUntilReady(ready, spec.readyTimeoutMs);
	}

	get pid(): number {
		return this.#child.pid ?? 0;
	}

	get ready(): ReadyLine {
		return this.#ready;
	}

	get isRunning(): boolean {
		return this.#isRunning;
	}

	/** Whether the process ended without being asked to. */
	get hasCrashed(): boolean {
		return !this.#isRunning && !this.#isEndRequested;
	}

	pause(): void {
		this.#signal('SIGSTOP');
	}

	resume(): void {
		this.#signal('SIGCONT');
	}

	async kill(): Promise<ProcessExit> {
		this.#isEndRequested ||= this.#isRunning;
		this.#signal('SIGKILL');
		return this.exited;
	}

	async terminate(timeoutMs: number): Promise<ProcessExit> {
		this.#isEndRequested ||= this.#isRunning;
		this.#signal('SIGTERM');
		const timer = setTimeout(() => {
			this.#signal('SIGKILL');
		}, timeoutMs);
		const exit = await this.exited;
		clearTimeout(timer);
		return exit;
	}

	logLines(): string[] {
		return [...this.#logs.stdout.lines(), ...this.#logs.stderr.lines()];
	}

	#signal(signal: NodeJS.Signals): void {
		if (this.#isRunning) {
			this.#child.kill(signal);
		}
	}

	#collectOutput(): void {
		for (const output of ['stdout', 'stderr'] as const) {
			const stream = this.#child[output];
			stream.setEncoding('utf8');
			stream.on('data', (chunk: string) => {
				this.#logs[output].push(chunk);
			});
		}
	}

	async #waitUntilReady(ready: Promise<ReadyLine>, timeoutMs: number): Promise<ReadyLine> {
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(new Error(`${this.name} was not ready within ${timeoutMs} ms; see its log.`));
			}, timeoutMs);
		});
		const ended = async (): Promise<never> => {
			const exit = await this.exited;
			throw new Error(`${this.name} ended before it was ready (code ${exit.code ?? 'none'}, signal ${exit.signal ?? 'none'}): ${this.logLines().slice(-3).join(' ')}`);
		};

		try {
			this.#ready = await Promise.race([ready, ended(), timeout]);
			return this.#ready;
		} finally {
			clearTimeout(timer);
		}
	}
}
