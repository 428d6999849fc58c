import {z} from 'zod';
import {type StatementName, statements} from './domain/statements.js';

const port = z.int().min(0).max(65_535).default(0);
const ms = z.number().min(0);

const defaultServiceMs = Object.fromEntries(Object.entries(statements).map(([name, {serviceMs}]) => [name, serviceMs])) as Record<StatementName, number>;

const serviceMs = z.strictObject(Object.fromEntries(Object.keys(statements)
	.map(name => [name, ms.optional()])) as Record<StatementName, z.ZodOptional<typeof ms>>);

/** Settings of one instance. Durations in ms unless the name says otherwise. */
export const endpointSettings = z.strictObject({
	database: z.string().min(1),
	memberId: z.string().min(1),
	failureDomain: z.string().min(1),
	host: z.string().default('127.0.0.1'),
	/** Port of the endpoint service; 0 takes a free one. */
	endpointPort: port,
	/** Port that the replicas of the group pull from; 0 takes a free one. */
	replicationPort: port,
	/** Port for faults and the log, for tests and the load tool; 0 takes a free one. */
	controlPort: port,
	/** Statements that run at the same time. */
	slots: z.int().min(1).default(5),
	/** Sessions and monitors that are open at the same time. */
	maxConnections: z.int().min(1).default(35),
	/** Time that opening a connection takes. */
	openDelayMs: ms.default(10),
	/** Time that a statement holds a slot, by statement name; 2 for short ones and 400 for long ones by default. */
	serviceMs: serviceMs.default({}).transform((given): Record<StatementName, number> => ({...defaultServiceMs, ...given})),
	/** Delay until this instance, as a replica, has received an entry. */
	replicationDelayMs: ms.default(0),
	/** Delay until this instance, as a replica, has applied a received entry. */
	applyLagMs: ms.default(0),
	/** Silence of the primary after which a replica reports no contact. */
	replicationTimeoutMs: z.number().min(20).default(500),
	keyRetentionHours: z.number().positive().default(24),
	/** Age from which a request key is refused; below the retention, to cover clock differences. */
	keyMaxAgeHours: z.number().positive().default(23),
}).refine(({keyMaxAgeHours, keyRetentionHours}) => keyMaxAgeHours < keyRetentionHours, {
	error: 'must be below keyRetentionHours, so that no key outlives its record', path: ['keyMaxAgeHours'],
});

export type EndpointSettings = z.output<typeof endpointSettings>;
export type EndpointSettingsInput = z.input<typeof endpointSettings>;
