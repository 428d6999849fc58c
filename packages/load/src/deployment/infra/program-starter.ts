import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {stringify} from 'yaml';
import {type ManagedProcess, type ProcessSupervisor} from '../../process/index.js';

/** Node.js starts in well under a second; a machine with all cores busy takes several. */
const readyTimeoutMs = 15_000;

const scripts = {
	platform: ['@dogwoodthread/standin', 'bin/dogwood-platform.js'],
	endpoint: ['@dogwoodthread/standin', 'bin/dogwood-endpoint.js'],
	proxy: ['@dogwoodthread/proxy', 'bin/dogwood-proxy.js'],
} as const;

export type ProgramName = keyof typeof scripts;

const scriptPathOf = (program: ProgramName): string => {
	const [packageName, file] = scripts[program];
	return fileURLToPath(new URL(file, import.meta.resolve(packageName)));
};

/** Starts the project's programs with their settings in a folder for temporary files. */
export class ProgramStarter {
	readonly #supervisor: ProcessSupervisor;
	#folder: string | undefined;
	#fileCount = 0;

	constructor(supervisor: ProcessSupervisor) {
		this.#supervisor = supervisor;
	}

	async startWithArgs(program: ProgramName, name: string, args: string[]): Promise<ManagedProcess> {
		return this.#supervisor.start({
			name, scriptPath: scriptPathOf(program), args, readyTimeoutMs,
		});
	}

	async startWithSettings(program: ProgramName, name: string, settings: unknown): Promise<ManagedProcess> {
		this.#folder ??= await mkdtemp(path.join(tmpdir(), 'dogwood-settings-'));
		this.#fileCount += 1;
		const file = path.join(this.#folder, `${name}-${this.#fileCount}.yaml`);
		await writeFile(file, stringify(settings));
		return this.startWithArgs(program, name, ['--settings', file]);
	}

	async removeSettings(): Promise<void> {
		if (this.#folder) {
			await rm(this.#folder, {recursive: true, force: true});
		}
	}
}
