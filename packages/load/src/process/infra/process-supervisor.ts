import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type ManagedProcess, type ProcessSpec} from '../definitions.js';
import {NodeChildProcess} from './child-process.js';

/**
 * Starts processes and makes sure that none outlives this one: all of them are killed when this
 * process exits, also after an uncaught error or a signal.
 */
export class ProcessSupervisor {
	readonly #processes: NodeChildProcess[] = [];
	readonly #killAll: () => void;
	readonly #exitOnSignal: (signal: NodeJS.Signals) => void;

	constructor() {
		this.#killAll = () => {
			for (const child of this.#processes.filter(({isRunning}) => isRunning)) {
				void child.kill();
			}
		};

		this.#exitOnSignal = signal => {
			this.#killAll();
			process.exit(signal === 'SIGINT' ? 130 : 143);
		};

		process.on('exit', this.#killAll);
		process.on('SIGINT', this.#exitOnSignal);
		process.on('SIGTERM', this.#exitOnSignal);
	}

	/** Starts the process and waits for its ready line. Throws if it does not come. */
	async start(spec: ProcessSpec): Promise<ManagedProcess> {
		const child = new NodeChildProcess(spec);
		this.#processes.push(child);
		try {
			await child.started;
			return child;
		} catch (error) {
			await child.kill();
			throw error;
		}
	}

	/** Names of the processes that ended without being asked to. */
	crashedProcesses(): string[] {
		return this.#processes.filter(({hasCrashed}) => hasCrashed).map(({name}) => name);
	}

	/** Kills every process that still runs and waits for its end. */
	async stopAll(): Promise<void> {
		await Promise.all(this.#processes.filter(child => child.isRunning).map(async child => child.kill()));
		process.off('exit', this.#killAll);
		process.off('SIGINT', this.#exitOnSignal);
		process.off('SIGTERM', this.#exitOnSignal);
	}

	/** Writes the kept log lines of every process to a new folder and gives its path. */
	async dumpLogs(): Promise<string> {
		const folder = await mkdtemp(path.join(tmpdir(), 'dogwood-logs-'));
		await Promise.all(this.#processes.map(async (child, index) => {
			const file = path.join(folder, `${String(index).padStart(2, '0')}-${child.name}.log`);
			await writeFile(file, child.logLines().join('\n') + '\n');
		}));
		return folder;
	}
}
