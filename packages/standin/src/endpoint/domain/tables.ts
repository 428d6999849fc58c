import {type BookingRow, type PaymentRow, type RowChange} from '../definitions.js';

/** What statements read. */
export type TableView = {
	booking(bookingId: string): BookingRow | undefined;
	/** The active booking of a lane and slot. */
	bookingAt(lane: string, slot: string): BookingRow | undefined;
	activeBookings(lanePrefix: string): BookingRow[];
	bookings(): BookingRow[];
	payments(bookingId: string): PaymentRow[];
};

/** Name of the unique index entry of a lane and slot, for conflict detection. */
export const laneKey = (lane: string, slot: string): string => `lane:${JSON.stringify([lane, slot])}`;

/** Name of the balance of a booking that refunds pay out, for conflict detection. */
export const refundKey = (bookingId: string): string => `refund:${bookingId}`;

/** Name of a booking row, for conflict detection. */
export const bookingKey = (bookingId: string): string => `booking:${bookingId}`;

/** Committed rows of an instance, with the index of the entry that last changed each. */
export class Tables implements TableView {
	readonly #bookings = new Map<string, BookingRow>();
	readonly #lanes = new Map<string, Map<string, string>>();
	readonly #payments: PaymentRow[] = [];
	readonly #paymentsByBooking = new Map<string, PaymentRow[]>();
	readonly #changedAt = new Map<string, number>();

	apply(changes: RowChange[], index: number): void {
		for (const change of changes) {
			if (change.table === 'payments') {
				this.#addPayment(change.row, index);
			} else {
				this.#putBooking(change.row, index);
			}
		}
	}

	/** Index of the last entry that changed a row; 0 if none did. */
	changedAt(key: string): number {
		return this.#changedAt.get(key) ?? 0;
	}

	booking(bookingId: string): BookingRow | undefined {
		return this.#bookings.get(bookingId);
	}

	bookingAt(lane: string, slot: string): BookingRow | undefined {
		const bookingId = this.#lanes.get(lane)?.get(slot);
		return bookingId === undefined ? undefined : this.#bookings.get(bookingId);
	}

	activeBookings(lanePrefix: string): BookingRow[] {
		return [...this.#lanes]
			.filter(([lane]) => lane.startsWith(lanePrefix))
			.flatMap(([, slots]) => [...slots.values()])
			.flatMap(bookingId => this.#bookings.get(bookingId) ?? []);
	}

	bookings(): BookingRow[] {
		return [...this.#bookings.values()];
	}

	payments(bookingId: string): PaymentRow[] {
		return this.#paymentsByBooking.get(bookingId) ?? [];
	}

	allPayments(): PaymentRow[] {
		return [...this.#payments];
	}

	#addPayment(row: PaymentRow, index: number): void {
		this.#payments.push(row);
		if (row.amountCents < 0) {
			this.#changedAt.set(refundKey(row.bookingId), index);
		}

		const ofBooking = this.#paymentsByBooking.get(row.bookingId);
		if (ofBooking) {
			ofBooking.push(row);
		} else {
			this.#paymentsByBooking.set(row.bookingId, [row]);
		}
	}

	#putBooking(row: BookingRow, index: number): void {
		const {bookingId, lane, slot, state} = row;
		this.#bookings.set(bookingId, row);
		this.#changedAt.set(bookingKey(bookingId), index);
		const slots = this.#lanes.get(lane) ?? new Map<string, string>();
		this.#lanes.set(lane, slots);
		if (state === 'active' && slots.get(slot) !== bookingId) {
			slots.set(slot, bookingId);
			this.#changedAt.set(laneKey(lane, slot), index);
		} else if (state !== 'active' && slots.get(slot) === bookingId) {
			slots.delete(slot);
			this.#changedAt.set(laneKey(lane, slot), index);
		}
	}
}
