import {type SessionStep, type StepPlan} from '../definitions.js';
import {type SeededRandom} from './seeded-random.js';

type Booking = {bookingId: string; lane: string};

/** Number of halls with practice nets; a lane board shows one hall. */
const hallCount = 20;

/** Maximum ages in ms that reads of lane boards accept; the customers display boards that are a few seconds old. */
const boardMaxAgesMs = [1000, 2000, 5000];

/**
 * Plans the steps of a session: holds, payments, amendments and cancellations of its own bookings, and other reads. Each
 * acknowledged write is followed by a read of the written row, so that the session's next request checks the write.
 */
export class SessionPlan implements StepPlan {
	readonly #sessionId: string;
	readonly #random: SeededRandom;
	readonly #bookings: Booking[] = [];
	#pendingRead: SessionStep | undefined;
	#count = 0;

	constructor(sessionId: string, random: SeededRandom) {
		this.#sessionId = sessionId;
		this.#random = random;
	}

	next(): SessionStep {
		const read = this.#pendingRead;
		this.#pendingRead = undefined;
		if (read) {
			return read;
		}

		const booking = this.#random.pick(this.#bookings);
		return booking ? this.#chooseStepFor(booking) : this.#hold();
	}

	/** Updates the session's bookings, and schedules the read that follows a write. */
	acknowledge(step: SessionStep): void {
		const [first, second] = step.parameters as string[];
		if (step.statement === 'hold_lane') {
			this.#bookings.push({bookingId: first ?? '', lane: second ?? ''});
		}

		if (step.statement === 'cancel_booking') {
			this.#bookings.splice(this.#bookings.findIndex(({bookingId}) => bookingId === first), 1);
		}

		if (step.access === 'write') {
			this.#pendingRead = step.statement === 'pay_deposit'
				? this.#read('list_payments', second)
				: this.#read('get_booking', first);
		}
	}

	#chooseStepFor(booking: Booking): SessionStep {
		const choice = this.#random.fraction();
		if (choice < 0.15) {
			return this.#hold();
		}

		if (choice < 0.35) {
			return this.#pay(booking);
		}

		if (choice < 0.45) {
			return this.#write('amend_booking', [booking.bookingId, `note ${this.#nextId('n')}`]);
		}

		if (choice < 0.48) {
			return this.#write('cancel_booking', [booking.bookingId]);
		}

		if (choice < 0.65) {
			return this.#readBoard(booking);
		}

		return choice < 0.85 ? this.#read('get_booking', booking.bookingId) : this.#read('list_payments', booking.bookingId);
	}

	#nextId(prefix: string): string {
		this.#count += 1;
		return `${prefix}-${this.#sessionId}-${this.#count}`;
	}

	/** Each hold has a lane of its own, so it can fail only if an earlier attempt of the same hold ran. */
	#hold(): SessionStep {
		const bookingId = this.#nextId('b');
		const lane = `hall${String(this.#random.int(1, hallCount)).padStart(2, '0')}/${bookingId}`;
		return this.#write('hold_lane', [bookingId, lane, '18:00', this.#sessionId]);
	}

	#pay(booking: Booking): SessionStep {
		return this.#write('pay_deposit', [this.#nextId('p'), booking.bookingId, this.#random.int(100, 9900)]);
	}

	#readBoard(booking: Booking): SessionStep {
		const hall = booking.lane.slice(0, booking.lane.indexOf('/') + 1);
		return {
			statement: 'lane_board', parameters: [hall], access: 'read', workClass: 'browse', maxAgeMs: this.#random.pick(boardMaxAgesMs),
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
