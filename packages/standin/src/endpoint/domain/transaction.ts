import {createHash} from 'node:crypto';
import {type BookingRow, type PaymentRow, type RowChange} from '../definitions.js';
import {type BoundStatement, type StatementOutcome} from './statements.js';
import {type Tables, type TableView} from './tables.js';

/** Hash of statements, to tell a repeat from another request under the same key. */
export const fingerprintOf = (texts: string[]): string => createHash('sha256').update(JSON.stringify(texts)).digest('base64url');

/**
 * Buffered changes of an open transaction over the committed rows. Reads see the latest committed
 * rows and the transaction's own changes. A row that another transaction changed since the
 * beginning fails the commit: the first committer wins.
 */
export class Transaction {
	readonly changes: RowChange[] = [];
	readonly #touched = new Set<string>();
	readonly #statementTexts: string[] = [];
	readonly #view: TableView;

	/**
	 * @param term term that the transaction was begun in
	 * @param startIndex applied index at the beginning
	 */
	constructor(readonly term: number, private readonly startIndex: number, private readonly tables: Tables) {
		this.#view = overlay(tables, this.changes);
	}

	get fingerprint(): string {
		return fingerprintOf(this.#statementTexts);
	}

	run(statement: BoundStatement, statementText: string): StatementOutcome {
		const outcome = statement(this.#view);
		this.#statementTexts.push(statementText);
		this.changes.push(...outcome.changes);
		for (const key of outcome.touched) {
			this.#touched.add(key);
		}

		return outcome;
	}

	/** Whether another transaction changed a touched row first. Without changes there is nothing to lose. */
	conflicts(): boolean {
		return this.changes.length > 0 && [...this.#touched].some(key => this.tables.changedAt(key) > this.startIndex);
	}
}

/** Rows of `base` with uncommitted changes on top. */
const overlay = (base: Tables, changes: RowChange[]): TableView => {
	const changedBookings = (): Map<string, BookingRow> =>
		new Map(changes.flatMap(change => change.table === 'bookings' ? [[change.row.bookingId, change.row] as const] : []));
	const addedPayments = (bookingId: string): PaymentRow[] =>
		changes.flatMap(change => change.table === 'payments' && change.row.bookingId === bookingId ? [change.row] : []);
	const merge = (rows: BookingRow[]): BookingRow[] => {
		const changed = changedBookings();
		return [...rows.filter(({bookingId}) => !changed.has(bookingId)), ...changed.values()];
	};

	return {
		booking: bookingId => changedBookings().get(bookingId) ?? base.booking(bookingId),
		bookingAt: (lane, slot) => merge([base.bookingAt(lane, slot) ?? []].flat())
			.find(row => row.state === 'active' && row.lane === lane && row.slot === slot),
		activeBookings: lanePrefix => merge(base.activeBookings(lanePrefix))
			.filter(row => row.state === 'active' && row.lane.startsWith(lanePrefix)),
		bookings: () => merge(base.bookings()),
		payments: bookingId => [...base.payments(bookingId), ...addedPayments(bookingId)],
	};
};
