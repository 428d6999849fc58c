import {type TimerService} from '@dogwoodthread/coordination';
import {type Deployment, type ProxyHandle} from '../../deployment/index.js';
import {type ProxyDirectory} from '../../workload/index.js';

/** Load balancers check every few hundred ms to some seconds; a short interval keeps runs short. */
const checkIntervalMs = 100;

const checkTimeoutMs = 300;

/** The proxies that answer `/readyz`, as a load balancer in front of them would see it. */
export class ReadyProxies implements ProxyDirectory {
	readonly #deployment: Deployment;
	readonly #timers: TimerService;
	readonly #ready = new Set<string>();
	#isClosed = false;

	constructor(deployment: Deployment, timers: TimerService) {
		this.#deployment = deployment;
		this.#timers = timers;
		void this.#checkUntilClosed();
	}

	readyProxies(): string[] {
		return this.#deployment.proxies.map(proxy => proxy.callerAddress).filter(address => this.#ready.has(address));
	}

	close(): void {
		this.#isClosed = true;
	}

	async #checkUntilClosed(): Promise<void> {
		while (!this.#isClosed) {
			await this.#check();
			await this.#timers.sleep(checkIntervalMs);
		}
	}

	async #check(): Promise<void> {
		await Promise.all(this.#deployment.proxies.map(async proxy => {
			if (await this.#isReady(proxy)) {
				this.#ready.add(proxy.callerAddress);
			} else {
				this.#ready.delete(proxy.callerAddress);
			}
		}));
	}

	async #isReady(proxy: ProxyHandle): Promise<boolean> {
		if (!proxy.process.isRunning) {
			return false;
		}

		try {
			const response = await fetch(`http://${proxy.adminAddress}/readyz`, {signal: AbortSignal.timeout(checkTimeoutMs)});
			await response.text();
			return response.ok;
		} catch {
			return false;
		}
	}
}
