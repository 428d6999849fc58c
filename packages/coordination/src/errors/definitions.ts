/** Entry of an error catalogue. */
export type CatalogueEntry = {
	/** Short name of the error condition, for tables and reports. */
	title: string;
	/** General remedy. */
	hint: string;
};

/** An expected error, returned rather than thrown: a stable kind, and a message that names the remedy. */
export type TypedError<Kind extends string> = {
	kind: Kind;
	message: string;
	/** Error that led to this one, if any. */
	cause?: unknown;
};
