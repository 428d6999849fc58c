import {type FaultValues} from '../definitions.js';

/** Faults in force, and the wait for their end. */
export class Faults {
	#values: FaultValues;
	readonly #listeners = new Set<() => void>();

	constructor(initial: Pick<FaultValues, 'replicationDelayMs' | 'applyLagMs'>) {
		this.#values = {
			frozen: false, cutFromGroup: false, refuseConnections: false, answerDelayMs: 0, crossAnswers: false,
			dropMidRows: false, leaving: false, ...initial,
		};
	}

	get values(): Readonly<FaultValues> {
		return this.#values;
	}

	set(changes: Partial<FaultValues>): void {
		this.#values = {...this.#values, ...changes};
		for (const listener of this.#listeners) {
			listener();
		}
	}

	/** Calls `listener` after each change; gives the function that ends this. */
	onChange(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Resolves once the condition holds; checked at every change of a fault. */
	async until(condition: (values: Readonly<FaultValues>) => boolean): Promise<void> {
		if (condition(this.#values)) {
			return;
		}

		await new Promise<void>(resolve => {
			const stop = this.onChange(() => {
				if (condition(this.#values)) {
					stop();
					resolve();
				}
			});
		});
	}

	/** Resolves while the instance is not frozen. */
	async untilThawed(): Promise<void> {
		await this.until(({frozen}) => !frozen);
	}
}
