import {MemoryPlatform, type ObjectKind, type TimerService} from '@dogwoodthread/coordination';

/** Platform in memory whose watches wait on the given timers, for runs on manual time. */
export class SimulatedPlatform extends MemoryPlatform {
	calls = 0;
	readonly #notify = new Set<() => void>();

	constructor(private readonly timers: TimerService) {
		super();
	}

	override list(kind: ObjectKind) {
		this.calls += 1;
		return super.list(kind);
	}

	override put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number) {
		return super.put(kind, name, value, expectedVersion).map(version => {
			for (const notify of this.#notify) {
				notify();
			}

			return version;
		});
	}

	override watch(kind: ObjectKind, revision: number, waitMs: number) {
		this.calls += 1;
		return super.watch(kind, revision, 0).map(async batch => {
			if (batch.changes.length > 0) {
				return batch;
			}

			await this.#wait(waitMs);
			const later = await super.watch(kind, revision, 0);
			return later.unwrapOr(batch);
		});
	}

	async #wait(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const notify = () => {
				timeout.cancel();
				this.#notify.delete(notify);
				resolve();
			};

			const timeout = this.timers.after(waitMs, notify);
			this.#notify.add(notify);
		});
	}
}
