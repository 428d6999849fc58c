import {type CheckReport} from '../../checker/index.js';
import {type ProxyHandle} from '../../deployment/index.js';
import {type Scenario, type ScenarioContext} from '../definitions.js';
import {waitForShare} from '../core/waiting.js';

/** Ends each proxy with SIGTERM and starts its replacement, one after the other, under load. */
export class RollingRestartScenario implements Scenario {
	readonly #exitCodes: Array<number | undefined> = [];

	get name(): string {
		return 'rolling-restart';
	}

	get summary(): string {
		return 'SIGTERM and restart of each proxy in turn; no request may be cut';
	}

	async run(context: ScenarioContext): Promise<void> {
		const {deployment, report} = context;
		await waitForShare(context, 0.1);
		for (const proxy of deployment.proxies) {
			await this.#restart(context, proxy);
			await waitForShare(context, 0.05);
		}

		report('exitCodes', this.#exitCodes);
	}

	verify(_context: ScenarioContext, report: CheckReport): string[] {
		return [
			...report.cutRequests > 0 ? [`${report.cutRequests} requests were cut by a graceful shutdown`] : [],
			...this.#exitCodes.some(code => code !== 0) ? [`exit codes were ${JSON.stringify(this.#exitCodes)}`] : [],
		];
	}

	async #restart({deployment, log, timers}: ScenarioContext, proxy: ProxyHandle): Promise<void> {
		log(`ending ${proxy.hostId} with SIGTERM`);
		const startMs = timers.nowMs();
		const exit = await deployment.terminate(proxy);
		this.#exitCodes.push(exit.code);
		log(`${proxy.hostId} ended with code ${exit.code ?? 'none'} after ${Math.round(timers.nowMs() - startMs)} ms`);
		await deployment.restartProxy(proxy.hostId);
		await deployment.publishHosts();
	}
}
