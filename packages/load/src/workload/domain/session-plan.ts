import {type SessionStep, type StepPlan} from '../definitions.js';
import {type SeededRandom} from './seeded-random.js';

type Booking = {bookingId: string; lane: string};

/** Halls of the practice nets; a lane board shows one hall. */
const halls = 20;

/** Age in ms that lane boards accept; the users show boards that are a few seconds old. */
const boardAgesMs = [1000, 2000, 5000];

/**
 * Chooses a session's steps: holds, payments, amendments and cancellations of its own bookings, and after each
 * write a read of what it wrote, so that every write is checked by the session's next request.
 */
export class SessionPlan implements StepPlan {
	readonly #sessionId: string;
	readonly #random: SeededRandom;
	readonly #bookings: Booking[] = [];
	#nextRead: SessionStep | undefined;
	#count = 0;

	constructor(sessionId: string, random: SeededRandom) {
		this.#sessionId = sessionId;
		this.#random = random;
	}

	next(): SessionStep {
		const read = this.#nextRead;
		this.#nextRead = undefined;
		if (read) {
			return read;
		}

		const booking = this.#random.pick(this.#bookings);
		return booking ? this.#chooseStep(booking) : this.#hold();
	}

	/** Tells the plan that a write was acknowledged. */
	acknowledge(step: SessionStep): void {
		const [first, second] = step.parameters as string[];
		if (step.statement === 'hold_lane') {
			this.#bookings.push({bookingId: first ?? '', lane: second ?? ''});
		}

		if (step.statement === 'cancel_booking') {
			this.#bookings.splice(this.#bookings.findIndex(({bookingId}) => bookingId === first), 1);
		}

		if (step.access === 'write') {
			this.#nextRead = step.statement === 'pay_deposit'
				? this.#read('list_payments', second)
				: this.#read('get_booking', first);
		}
	}

	#chooseStep(booking: Booking): SessionStep {
		const chance = this.#random.fraction();
		if (chance < 0.15) {
			return this.#hold();
		}

		if (chance < 0.35) {
			return this.#pay(booking);
		}

		if (chance < 0.45) {
			return this.#write('amend_booking', [booking.bookingId, `note ${this.#nextId('n')}`]);
		}

		if (chance < 0.48) {
			return this.#write('cancel_booking', [booking.bookingId]);
		}

		if (chance < 0.65) {
			return this.#board(booking);
		}

		return chance < 0.85 ? this.#read('get_booking', booking.bookingId) : this.#read('list_payments', booking.bookingId);
	}

	#nextId(prefix: string): string {
		this.#count += 1;
		return `${prefix}-${this.#sessionId}-${this.#count}`;
	}

	/** Lane and slot are the session's own, so that a hold fails only if an earlier one of it ran. */
	#hold(): SessionStep {
		const bookingId = this.#nextId('b');
		const lane = `hall${String(this.#random.int(1, halls)).padStart(2, '0')}/${bookingId}`;
		return this.#write('hold_lane', [bookingId, lane, '18:00', this.#sessionId]);
	}

	#pay(booking: Booking): SessionStep {
		return this.#write('pay_deposit', [this.#nextId('p'), booking.bookingId, this.#random.int(100, 9900)]);
	}

	#board(booking: Booking): SessionStep {
		const hall = booking.lane.slice(0, booking.lane.indexOf('/') + 1);
		return {
			statement: 'lane_board', parameters: [hall], access: 'read', workClass: 'browse', maxAgeMs: this.#random.pick(boardAgesMs),
		};
	}

	#write(statement: string, parameters: unknown[]): SessionStep {
		return {
			statement, parameters, access: 'write', workClass: 'critical',
		};
	}

	#read(statement: string, id: string | undefined): SessionStep {
		return {
			statement, parameters: [id], access: 'read', workClass: 'short',
		};
	}
}
