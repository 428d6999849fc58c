import {z} from 'zod';
import {
	type BookingRow, type PaymentRow, type RowChange, type StatementAnswer,
} from '../definitions.js';
import {
	bookingKey, laneKey, refundKey, type TableView,
} from './tables.js';

/** Effect of a statement that has not been committed. */
export type StatementOutcome = {
	answer: StatementAnswer;
	changes: RowChange[];
	/** Keys of the rows that must not have changed since the transaction began. */
	touched: string[];
};

/** A statement with checked parameters, ready to run against rows. */
export type BoundStatement = (view: TableView) => StatementOutcome;

type StatementDefinition = {
	writes: boolean;
	/** Default service time in ms. */
	serviceMs: number;
	/** Gives the runnable statement; throws a ZodError for bad parameters. */
	bind(parameters: unknown): BoundStatement;
};

const shortMs = 2;
const longMs = 400;
const text = z.string().min(1).max(200);

const answered = (rows: unknown[], changes: RowChange[] = [], touched: string[] = []): StatementOutcome =>
	({answer: {rows: rows.map(row => JSON.stringify(row))}, changes, touched});

const failed = (code: string, message: string, touched: string[] = []): StatementOutcome =>
	({answer: {rows: [], statementError: {code, message}}, changes: [], touched});

const changeBooking = (view: TableView, bookingId: string, change: (row: BookingRow) => BookingRow): StatementOutcome => {
	const row = view.booking(bookingId);
	const touched = [bookingKey(bookingId)];
	if (!row) {
		return failed('no-such-booking', `No booking ${bookingId}; hold a lane first.`, touched);
	}

	if (row.state !== 'active') {
		return failed('booking-not-active', `Booking ${bookingId} is ${row.state}; hold a lane again.`, touched);
	}

	const changed = change(row);
	return answered([changed], [{table: 'bookings', row: changed}], touched);
};

const holdLane = (view: TableView, row: BookingRow): StatementOutcome => {
	const touched = [bookingKey(row.bookingId), laneKey(row.lane, row.slot)];
	if (view.booking(row.bookingId)) {
		return failed('booking-exists', `Booking ${row.bookingId} exists; use another id.`, touched);
	}

	return view.bookingAt(row.lane, row.slot)
		? failed('lane-taken', `Lane ${row.lane} is taken at ${row.slot}; choose another lane or slot.`, touched)
		: answered([row], [{table: 'bookings', row}], touched);
};

const balanceCents = (payments: PaymentRow[]): number => payments.reduce((sum, {amountCents}) => sum + amountCents, 0);

/** Pays back what is left on every cancelled booking. */
const refundRun = (view: TableView, batchId: string): StatementOutcome => {
	const rows = view.bookings()
		.filter(({state}) => state === 'cancelled')
		.map(({bookingId}): PaymentRow => ({
			paymentId: `refund:${batchId}:${bookingId}`, bookingId, amountCents: -balanceCents(view.payments(bookingId)),
		}))
		.filter(({amountCents}) => amountCents < 0);
	return answered(rows, rows.map(row => ({table: 'payments', row})), rows.map(({bookingId}) => refundKey(bookingId)));
};

const byLaneAndSlot = (a: BookingRow, b: BookingRow): number => a.lane.localeCompare(b.lane) || a.slot.localeCompare(b.slot);

/** All statements of the stand-in, by name. Parameters are JSON arrays. */
export const statements = {
	hold_lane: {
		writes: true,
		serviceMs: shortMs,
		bind(parameters) {
			const [bookingId, lane, slot, caller] = z.tuple([text, text, text, text]).parse(parameters);
			return view => holdLane(view, {
				bookingId, lane, slot, caller, state: 'active', note: '', amendments: 0,
			});
		},
	},
	pay_deposit: {
		writes: true,
		serviceMs: shortMs,
		bind(parameters) {
			const [paymentId, bookingId, amountCents] = z.tuple([text, text, z.int().positive()]).parse(parameters);
			const row = {paymentId, bookingId, amountCents};
			return () => answered([row], [{table: 'payments', row}]);
		},
	},
	amend_booking: {
		writes: true,
		serviceMs: shortMs,
		bind(parameters) {
			const [bookingId, note] = z.tuple([text, z.string().max(1000)]).parse(parameters);
			return view => changeBooking(view, bookingId, row => ({...row, note, amendments: row.amendments + 1}));
		},
	},
	cancel_booking: {
		writes: true,
		serviceMs: shortMs,
		bind(parameters) {
			const [bookingId] = z.tuple([text]).parse(parameters);
			return view => changeBooking(view, bookingId, row => ({...row, state: 'cancelled'}));
		},
	},
	refund_run: {
		writes: true,
		serviceMs: longMs,
		bind(parameters) {
			const [batchId] = z.tuple([text]).parse(parameters);
			return view => refundRun(view, batchId);
		},
	},
	get_booking: {
		writes: false,
		serviceMs: shortMs,
		bind(parameters) {
			const [bookingId] = z.tuple([text]).parse(parameters);
			return view => answered([view.booking(bookingId) ?? []].flat());
		},
	},
	lane_board: {
		writes: false,
		serviceMs: shortMs,
		bind(parameters) {
			const [lanePrefix] = z.tuple([z.string().max(200)]).parse(parameters);
			return view => answered(view.activeBookings(lanePrefix).sort(byLaneAndSlot));
		},
	},
	list_payments: {
		writes: false,
		serviceMs: shortMs,
		bind(parameters) {
			const [bookingId] = z.tuple([text]).parse(parameters);
			return view => answered(view.payments(bookingId));
		},
	},
	reconcile_inventory: {
		writes: false,
		serviceMs: longMs,
		bind(parameters) {
			z.tuple([]).parse(parameters);
			return view => answered(view.bookings().map(({bookingId, state}) =>
				({bookingId, state, balanceCents: balanceCents(view.payments(bookingId))})));
		},
	},
} satisfies Record<string, StatementDefinition>;

export type StatementName = keyof typeof statements;

/** Name and definition of a statement, or undefined for an unknown name. */
export const findStatement = (name: string): (StatementDefinition & {name: StatementName}) | undefined =>
	Object.hasOwn(statements, name) ? {name: name as StatementName, ...statements[name as StatementName]} : undefined;
