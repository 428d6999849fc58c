/** What a statement may do to rows. */
export type Access = 'read' | 'write';

/**
 * A client statement. `id` identifies it in logs and at the endpoint; `text` is passed to the endpoint unchanged,
 * byte for byte.
 */
export type ClientStatement =
	| {kind: 'begin'; id: string; readOnly: boolean}
	| {kind: 'commit'; id: string}
	| {kind: 'rollback'; id: string}
	| {kind: 'read' | 'write'; id: string; text: string}
	| {kind: 'set'; id: string; name: string; value: string}
	| {kind: 'prepare'; id: string; name: string; access: Access; shape: string}
	| {kind: 'execute'; id: string; name: string; argument: string}
	| {kind: 'deallocate'; id: string; name: string}
	| {kind: 'malformed'; id: string; reason: string};

export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Error codes of failed statements.
 *
 * After `busy`, `aborted`, `lagging`, `read-only`, `wrong-endpoint` and `connection-limit` the attempt has had no
 * effect, and the client may repeat it as a whole. After `in-doubt` and `timeout` it may or may not have run.
 */
export type ErrorCode =
	| 'busy' | 'aborted' | 'lagging' | 'read-only' | 'wrong-endpoint' | 'connection-limit'
	| 'in-doubt' | 'timeout' | 'failed' | 'unknown-statement' | 'unknown-database' | 'too-large' | 'malformed';

/** Answer to a client statement. */
export type ClientAnswer = {
	rows: readonly string[];
	outcome: {kind: 'done'; signature: string} | {kind: 'error'; code: ErrorCode; text: string};
	transaction: TransactionState;
};
