/** Entry of an error catalogue. */
export type CatalogueEntry = {
	/** Short name of the condition, for tables and reports. */
	title: string;
	/** What to do about it in general. */
	hint: string;
};

/** An expected failure: a stable kind, and a message that names the remedy. */
export type TypedError<Kind extends string> = {
	kind: Kind;
	message: string;
	/** Error that led to this one, if any. */
	cause?: unknown;
};
