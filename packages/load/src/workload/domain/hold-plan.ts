import {type SessionStep, type StepPlan} from '../definitions.js';

/** Plans holds only: every step costs the primary the same, so the capacity is a single rate. */
export class HoldPlan implements StepPlan {
	readonly #sessionId: string;
	#count = 0;

	constructor(sessionId: string) {
		this.#sessionId = sessionId;
	}

	next(): SessionStep {
		this.#count += 1;
		const bookingId = `b-${this.#sessionId}-${this.#count}`;
		return {
			statement: 'hold_lane', parameters: [bookingId, `hall01/${bookingId}`, '18:00', this.#sessionId], access: 'write', workClass: 'critical',
		};
	}

	acknowledge(): void {
		// Holds do not depend on one another.
	}
}
