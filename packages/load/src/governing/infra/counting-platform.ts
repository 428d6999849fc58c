import {type Platform, type TimerService} from '@dogwoodthread/coordination';

/** Counts an author's calls, so that they can be taken off the platform's counts, and times its writes. */
export class CountingPlatform implements Platform {
	calls = 0;
	/** When the last write of the governing document was sent. */
	documentPutAtMs: number | undefined;

	constructor(private readonly platform: Platform, private readonly timers: TimerService) {}

	get(...parameters: Parameters<Platform['get']>) {
		this.calls += 1;
		return this.platform.get(...parameters);
	}

	list(...parameters: Parameters<Platform['list']>) {
		this.calls += 1;
		return this.platform.list(...parameters);
	}

	put(...parameters: Parameters<Platform['put']>) {
		this.calls += 1;
		if (parameters[0] === 'document') {
			this.documentPutAtMs = this.timers.nowMs();
		}

		return this.platform.put(...parameters);
	}

	remove(...parameters: Parameters<Platform['remove']>) {
		this.calls += 1;
		return this.platform.remove(...parameters);
	}

	watch(...parameters: Parameters<Platform['watch']>) {
		this.calls += 1;
		return this.platform.watch(...parameters);
	}

	hosts() {
		this.calls += 1;
		return this.platform.hosts();
	}
}
