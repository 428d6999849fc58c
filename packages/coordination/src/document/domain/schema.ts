import {z} from 'zod';

const milliseconds = (min: number, max: number) => z.number().int().min(min).max(max);

const objectNameSchema = z.string().regex(/^[a-z][a-z\d-]{0,62}$/).meta({
	title: 'a name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters',
});
const statementNameSchema = z.string().regex(/^[A-Za-z][\w.-]{0,99}$/).meta({
	title: 'a statement name of letters, digits, dots, hyphens and underscores that begins with a letter, at most 100 characters',
});
const workClassSchema = z.enum(['critical', 'short', 'browse', 'long']);

const databaseSchema = z.strictObject({
	slots: z.number().int().min(2).max(1000)
		.meta({description: 'Statements that one instance runs at the same time.'}),
	connections: z.number().int().min(1).max(10_000)
		.meta({description: 'Connections that one instance accepts from all proxies together. Each of the three ranks gets a third of them.'}),
	longSlots: z.number().int().min(1).max(999).optional()
		.meta({description: 'Maximum number of slots that long work may hold; less than `slots`. Default: a third of `slots`, at least 1.'}),
	queueLength: z.number().int().min(1).max(100_000).optional()
		.meta({description: 'Longest queue at one instance, in requests. Default: 40 for each slot.'}),
	requestKeyRetentionHours: z.number().int().min(2).max(720).default(24)
		.meta({description: 'How long endpoints keep request keys. A key is refused as expired one hour earlier.'}),
	rttMs: z.number().min(0).max(1000).default(1)
		.meta({description: 'Typical round-trip time between proxies and the instances, in ms.'}),
}).transform(({longSlots, queueLength, ...rest}) => ({
	...rest,
	longSlots: longSlots ?? Math.max(1, Math.floor(rest.slots / 3)),
	queueLength: queueLength ?? 40 * rest.slots,
}));

const databasesSchema = z.record(objectNameSchema, databaseSchema)
	.meta({description: 'Limits of the instances of each database.'});

const applicationsSchema = z.strictObject({
	statements: z.record(statementNameSchema, z.strictObject({
		workClass: workClassSchema.meta({description: 'Class under which the statement is admitted. A statement that is not listed is classified by the service times that the proxy has measured.'}),
		maxAgeMs: milliseconds(0, 86_400_000).optional()
			.meta({description: 'Largest age of the data that the statement may read at a replica, in ms. Default: any age that has the session\'s own writes.'}),
	})).default({}).meta({description: 'Statements of the applications by name.'}),
	retryBudget: z.strictObject({
		ratio: z.number().min(0).max(1).default(0.1).meta({description: 'Retries allowed for each successful request.'}),
		burst: z.number().int().min(1).max(10_000).default(20).meta({description: 'Maximum number of unused retries that accumulate.'}),
	}).prefault({}).meta({description: 'Retry budget of each caller and database.'}),
});

const authorSchema = z.string().min(1).max(100);
const authorsSchema = z.array(authorSchema).min(1).max(200);

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
		databases: authorsSchema.meta({description: 'Authors who may edit the section databases.'}),
		applications: authorsSchema.meta({description: 'Authors who may edit the section applications.'}),
		operations: authorsSchema.meta({description: 'Authors who may edit the section operations.'}),
		monitor: authorsSchema.meta({description: 'Authors who may edit the section monitor.'}),
	}).meta({description: 'Authors of each section. Each section needs at least one, or nobody could edit it.'}),
});

const wordSchema = (description: string, value: string) => z.string().min(1).max(60).default(value).meta({description});

const objectiveSchema = z.strictObject({
	name: objectNameSchema.meta({description: 'Name of the objective, unique in the document.'}),
	kind: z.enum(['availability', 'latency']).meta({description: 'Whether the objective counts answered requests (`availability`) or fast ones (`latency`).'}),
	database: objectNameSchema.optional().meta({description: 'Database that the objective covers. Default: all.'}),
	workClass: workClassSchema.optional().meta({description: 'Work class that the objective covers. Default: all.'}),
	targetRatio: z.number().min(0.5).max(0.999_999).meta({description: 'Required ratio of good requests to all requests.'}),
	thresholdMs: milliseconds(1, 600_000).optional().meta({description: 'Slowest good request, in ms; for kind latency only.'}),
	windowDays: z.number().int().min(1).max(90).meta({description: 'Period over which the ratio is computed, in days.'}),
});

const monitorSchema = z.strictObject({
	words: z.strictObject({
		booking: wordSchema('What the firm calls a booking.', 'booking'),
		payment: wordSchema('What the firm calls a payment.', 'payment'),
		lost: wordSchema('Word for an acknowledged write that is missing.', 'lost'),
		doubled: wordSchema('Word for a write that took effect twice.', 'doubled'),
		altered: wordSchema('Word for a write that was changed silently.', 'altered'),
		refused: wordSchema('Word for a request that was refused and did not run.', 'refused'),
		change: wordSchema('Word for an accepted change of the document.', 'accepted change'),
		database: wordSchema('What the firm calls a database.', 'database'),
	}).prefault({}).meta({description: 'The firm\'s own words, used by `dogwoodctl audit` and `dogwoodctl report`.'}),
	objectives: z.array(objectiveSchema).max(200).default([]).meta({description: 'Service-level objectives.'}),
});

/** Schemas of the sections. All of them refuse unknown fields. */
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

/** Section values as written, before defaults are filled in. */
export type GoverningSectionsInput = {
	databases: z.input<typeof databasesSchema>;
	applications: z.input<typeof applicationsSchema>;
	operations: z.input<typeof operationsSchema>;
	monitor: z.input<typeof monitorSchema>;
};
