import {type ChildProcess, spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {formatSettings, type HostPorts} from '@dogwoodthread/platform/standin';

/** The program as it is deployed, built by `npm run bundle`. */
const scriptPath = fileURLToPath(new URL('../../../../../target/dogwood-pooler.cjs', import.meta.url));
/** As in `deploy/system.toml`. */
const heapLimitMebibytes = 200;
/** Limit of the resident memory, which the settings file tells the process. */
export const memoryLimitMebibytes = 512;
const bounds = {
	graceMs: 6000, drainMs: 7000, configurationMs: 3000, stableMs: 4000, memoryMebibytes: memoryLimitMebibytes,
};
const kibibytesPerMebibyte = 1024;

/** A host in a process of its own, with the heap limit of the deployment. */
export class FuzzHost {
	/** How the process ended by itself; undefined while it runs. */
	exit: string | undefined;
	readonly #child: ChildProcess;
	#isEnding = false;

	constructor(hostId: string, readonly ports: HostPorts, folder: string, onLogLine: (line: string) => void) {
		const settingsPath = path.join(folder, `${hostId}.yaml`);
		writeFileSync(settingsPath, formatSettings(hostId, 'a', ports, bounds));
		this.#child = spawn(process.execPath, [`--max-old-space-size=${heapLimitMebibytes}`, scriptPath, '--settings', settingsPath], {stdio: ['ignore', 'pipe', 'ignore']});
		createInterface({input: this.#child.stdout!}).on('line', onLogLine);
		this.#child.once('exit', (code, signal) => {
			this.exit = this.#isEnding ? undefined : signal ?? `exit code ${code}`;
		});
	}

	/** Resident memory; 0 once the process has ended. */
	get memoryMebibytes(): number {
		try {
			const [, kibibytes = '0'] = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${this.#child.pid}/status`, 'utf8')) ?? [];
			return Math.round(Number(kibibytes) / kibibytesPerMebibyte);
		} catch {
			return 0;
		}
	}

	async isReady(): Promise<boolean> {
		try {
			const {status} = await fetch(`http://127.0.0.1:${this.ports.readiness}/ready`);
			return status === 200;
		} catch {
			return false;
		}
	}

	async end(): Promise<void> {
		this.#isEnding = true;
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			await new Promise<void>(resolve => {
				this.#child.once('exit', () => {
					resolve();
				});
				this.#child.kill('SIGKILL');
			});
		}
	}
}
