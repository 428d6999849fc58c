import {LineClient} from '@dogwoodthread/platform/standin';
import {type SoakHistory, type Violation} from '../definitions.js';
import {isConfigurationLate} from '../domain/history-checks.js';
import {type SoakFleet, type SoakHost} from './soak-fleet.js';

const probeIntervalMs = 400;

/** Opens sessions with the two most recently added databases at each host, to find out whether its configuration includes them. */
export class ConfigurationProbe {
	readonly violations: Violation[] = [];
	/** Databases that a process has served already, as keys `host/incarnation/database`. */
	readonly #servedDatabases = new Set<string>();
	#isStopping = false;

	constructor(private readonly fleet: SoakFleet, private readonly history: Pick<SoakHistory, 'disturbances' | 'stops'>) {}

	stop(): void {
		this.#isStopping = true;
	}

	async run(): Promise<void> {
		while (!this.#isStopping) {
			const newest = [...this.fleet.addedDatabases].slice(-2);
			await Promise.all(this.fleet.hosts.flatMap(host => newest.map(async ([database, acknowledgedAtMs]) => this.#probeHost(host, database, acknowledgedAtMs))));
			await new Promise(resolve => {
				setTimeout(resolve, probeIntervalMs);
			});
		}
	}

	async #probeHost(host: SoakHost, database: string, acknowledgedAtMs: number): Promise<void> {
		const {incarnation} = host.process;
		const sentAtMs = performance.now();
		const client = new LineClient(host.clientLink.port);
		const reply = await client.startSession(database);
		client.destroy();
		if (host.process.incarnation !== incarnation) {
			return;
		}

		const key = `${host.index}/${incarnation}/${database}`;
		if (reply.kind === 'done') {
			this.#servedDatabases.add(key);
		} else if (reply.kind === 'refused' && reply.code === 'unknown-database') {
			const detail = `host ${host.index} does not know ${database}, ${Math.round(sentAtMs - acknowledgedAtMs)} ms after the store acknowledged it`;
			if (this.#servedDatabases.has(key)) {
				this.violations.push({kind: 'configuration-regress', statementId: '', detail});
			} else if (isConfigurationLate({acknowledgedAtMs, sentAtMs, answeredAtMs: performance.now()}, this.history)) {
				this.violations.push({kind: 'configuration-late', statementId: '', detail});
			}
		}
	}
}
