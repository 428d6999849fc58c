import {z} from 'zod';

const milliseconds = (min: number, max: number) => z.number().int().min(min).max(max);

const objectName = z.string().regex(/^[a-z][a-z\d-]{0,62}$/).meta({
	title: 'a name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters',
});
const statementName = z.string().regex(/^[A-Za-z][\w.-]{0,99}$/).meta({
	title: 'a statement name of letters, digits, dots, hyphens and underscores that begins with a letter, at most 100 characters',
});
const workClass = z.enum(['critical', 'short', 'browse', 'long']);

const databaseSchema = z.strictObject({
	slots: z.number().int().min(2).max(1000)
		.meta({description: 'Statements that one instance runs at the same time.'}),
	connections: z.number().int().min(1).max(10_000)
		.meta({description: 'Connections that one instance accepts from all proxies together. Rank 0 gets 0.6 of them, ranks 1 and 2 get 0.2 each.'}),
	longSlots: z.number().int().min(1).max(999).optional()
		.meta({description: 'Slots that long work may hold at most; below `slots`. Default: a third of `slots`, at least 1.'}),
	queueLength: z.number().int().min(1).max(100_000).optional()
		.meta({description: 'Longest queue at one instance, in requests. Default: 40 for each slot.'}),
	requestKeyRetentionHours: z.number().int().min(2).max(720).default(24)
		.meta({description: 'How long endpoints keep request keys. A key is refused as expired one hour earlier.'}),
	rttMs: z.number().min(0).max(1000).default(1)
		.meta({description: 'Usual round trip between proxies and the instances, in ms.'}),
}).transform(({longSlots, queueLength, ...rest}) => ({
	...rest,
	longSlots: longSlots ?? Math.max(1, Math.floor(rest.slots / 3)),
	queueLength: queueLength ?? 40 * rest.slots,
}));

const databasesSchema = z.record(objectName, databaseSchema)
	.meta({description: 'Limits of the instances of each database.'});

const applicationsSchema = z.strictObject({
	statements: z.record(statementName, z.strictObject({
		workClass: workClass.meta({description: 'Class under which the statement is admitted. A statement that is not listed is classified by what the proxy has learnt.'}),
		maxAgeMs: milliseconds(0, 86_400_000).optional()
			.meta({description: 'Largest age of the data that the statement may read at a replica, in ms. Default: any age that has the session\'s own writes.'}),
	})).default({}).meta({description: 'Statements of the applications by name.'}),
	retryBudget: z.strictObject({
		ratio: z.number().min(0).max(1).default(0.1).meta({description: 'Retries allowed for each successful request.'}),
		burst: z.number().int().min(1).max(10_000).default(20).meta({description: 'Retries that can be saved up.'}),
	}).prefault({}).meta({description: 'Retry budget of each caller and database.'}),
});

const author = z.string().min(1).max(100);
const authors = z.array(author).min(1).max(200);

const operationsSchema = z.strictObject({
	requestTimeoutMs: milliseconds(100, 600_000).default(5000)
		.meta({description: 'Longest time a request may take if its caller states no deadline, in ms.'}),
	detectionMs: milliseconds(100, 5000).default(1000)
		.meta({description: 'How long evidence against a primary must last before a promotion, in ms.'}),
	unconfirmedBoundMs: milliseconds(50, 60_000).default(2000)
		.meta({description: 'Age of the oldest unconfirmed write from which new writes are refused, in ms.'}),
	drainMs: milliseconds(100, 600_000).default(30_000)
		.meta({description: 'Time that a graceful shutdown gives to requests in flight, in ms.'}),
	leavingMs: milliseconds(100, 3000).default(2000)
		.meta({description: 'Time after which a leaving endpoint gets no new work, in ms.'}),
	documentConfirmationBoundMs: milliseconds(5000, 86_400_000).default(60_000)
		.meta({description: 'Age of the last confirmation of the document from which a proxy reports its version as stale, in ms.'}),
	staleDocumentMakesUnready: z.boolean().default(false)
		.meta({description: 'Whether a proxy with a stale document reports that it is not ready.'}),
	teams: z.strictObject({
		databases: authors.meta({description: 'Authors who may edit the section databases.'}),
		applications: authors.meta({description: 'Authors who may edit the section applications.'}),
		operations: authors.meta({description: 'Authors who may edit the section operations.'}),
		monitor: authors.meta({description: 'Authors who may edit the section monitor.'}),
	}).meta({description: 'Authors of each section. Each section needs at least one, or nobody could edit it.'}),
});

const word = (description: string, value: string) => z.string().min(1).max(60).default(value).meta({description});

const objectiveSchema = z.strictObject({
	name: objectName.meta({description: 'Name of the objective, unique in the document.'}),
	kind: z.enum(['availability', 'latency']).meta({description: 'Whether it counts answered requests or fast ones.'}),
	database: objectName.optional().meta({description: 'Database that it covers. Default: all.'}),
	workClass: workClass.optional().meta({description: 'Work class that it covers. Default: all.'}),
	targetRatio: z.number().min(0.5).max(0.999_999).meta({description: 'Share of the requests that must be good.'}),
	thresholdMs: milliseconds(1, 600_000).optional().meta({description: 'Slowest good request, in ms; for kind latency only.'}),
	windowDays: z.number().int().min(1).max(90).meta({description: 'Period over which the share is taken, in days.'}),
});

const monitorSchema = z.strictObject({
	words: z.strictObject({
		booking: word('What the firm calls a booking.', 'booking'),
		payment: word('What the firm calls a payment.', 'payment'),
		lost: word('Word for an acknowledged write that is missing.', 'lost'),
		doubled: word('Word for a write that took effect twice.', 'doubled'),
		altered: word('Word for a write that was changed silently.', 'altered'),
		refused: word('Word for a request that was refused and did not run.', 'refused'),
		change: word('Word for an accepted change of the document.', 'accepted change'),
		database: word('What the firm calls a database.', 'database'),
	}).prefault({}).meta({description: 'The firm\'s own words, used by `dogwoodctl audit` and `dogwoodctl report`.'}),
	objectives: z.array(objectiveSchema).max(200).default([]).meta({description: 'Service-level objectives.'}),
});

/** Schemas of the sections. Unknown fields are refused everywhere. */
export const sectionSchemas = {
	databases: databasesSchema,
	applications: applicationsSchema,
	operations: operationsSchema,
	monitor: monitorSchema,
};

export type DatabaseLimits = z.output<typeof databaseSchema>;
export type ServiceObjective = z.output<typeof objectiveSchema>;
export type MonitorWords = z.output<typeof monitorSchema>['words'];

export type GoverningSections = {
	databases: z.output<typeof databasesSchema>;
	applications: z.output<typeof applicationsSchema>;
	operations: z.output<typeof operationsSchema>;
	monitor: z.output<typeof monitorSchema>;
};

/** Values that can be written in the sections, before defaults are filled in. */
export type GoverningSectionsInput = {
	databases: z.input<typeof databasesSchema>;
	applications: z.input<typeof applicationsSchema>;
	operations: z.input<typeof operationsSchema>;
	monitor: z.input<typeof monitorSchema>;
};
