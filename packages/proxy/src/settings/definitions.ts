import {type TypedError} from '@dogwoodthread/coordination';
import {z} from 'zod';

const port = (description: string) => z.int().min(0).max(65_535).default(0).meta({description: `${description} 0 selects a free port.`});

const durationMs = (minMs: number, maxMs: number, defaultMs: number, description: string) =>
	z.int().min(minMs).max(maxMs).default(defaultMs).meta({description: `${description}, in ms.`});

const isMapping = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value);

/**
 * Schema of the settings of `dogwood-proxy`. Unknown keys are refused. `docs/settings-reference.md` is generated from the
 * descriptions, defaults and bounds.
 */
export const proxySettingsSchema = z.strictObject({
	hostId: z.string().min(1).meta({description: 'Name of this host, unique in the fleet.'}),
	failureDomain: z.string().min(1).meta({description: 'Failure domain of this host.'}),
	region: z.string().min(1).default('default').meta({description: 'Region of this host.'}),
	host: z.string().min(1).default('127.0.0.1').meta({description: 'IP address to listen on and to announce to peers.'}),
	callerPort: port('TCP port for callers.'),
	peerPort: port('TCP port for other proxies.'),
	gossipPort: port('UDP port for gossip.'),
	adminPort: port('TCP port for metrics, health and status.'),
	platformUrl: z.url({error: 'expected a URL such as http://10.0.0.1:8400'}).meta({description: 'Base URL of the platform\'s object service.'}),
	platformTimeoutMs: durationMs(10, 60_000, 2000, 'Time after which a call of the platform counts as failed'),
	seeds: z.array(z.string().regex(/^\S+:\d+$/, 'expected ip:port')).default([])
		.meta({description: 'Gossip addresses (`ip:port`) of other proxies to join.'}),
	databases: z.array(z.string().min(1)).default([])
		.meta({description: 'Databases to prepare at start, before the first request asks for them.'}),
	tokenKeys: z.array(z.string().min(16)).min(1).optional()
		.meta({description: 'Keys of session tokens; the first signs, all verify. The same keys on every proxy. Required unless `tokenKey` is given.'}),
	tokenKey: z.string().min(8).optional()
		.meta({description: 'Single key of session tokens; use `tokenKeys` to rotate. Ignored if `tokenKeys` is given.'}),
	policy: z.enum(['fair', 'fifo']).default('fair').meta({description: 'Admission policy; `fifo` is a baseline for measurements.'}),
	detectionMs: durationMs(100, 60_000, 1000, 'How long evidence against a primary must last before it is replaced, while no governing document is in force'),
	connectTimeoutMs: durationMs(20, 30_000, 500, 'Time-out for opening a connection to an instance'),
	progressTimeoutMs: durationMs(50, 600_000, 1500, 'Time without an answer after which a connection for short work counts as silent'),
	unconfirmedBoundMs: durationMs(50, 60_000, 1000, 'Age of an unconfirmed write at which new writes are refused, while no governing document is in force'),
	transactionTimeoutMs: durationMs(100, 3_600_000, 30_000, 'Maximum duration of a transaction'),
	transactionIdleMs: durationMs(50, 3_600_000, 5000, 'Maximum time that a transaction may wait for its next step'),
	shutdownNoticeMs: durationMs(0, 60_000, 1000, 'Time between reporting not ready and closing the listener at shutdown; longer than the load balancer needs to notice'),
	drainMs: durationMs(0, 600_000, 10_000, 'Maximum time for requests in flight to finish at shutdown'),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info').meta({description: 'Minimum level of log lines that are written.'}),
}).refine(value => value.tokenKeys ?? value.tokenKey, {
	path: ['tokenKeys'],
	error: 'expected at least one key of 16 characters or more',
	// Also checked when other fields are invalid, so that all mistakes are reported at once.
	when: ({value}) => isMapping(value),
});

export type ProxySettings = z.infer<typeof proxySettingsSchema>;

export type SettingsError = TypedError<'invalid-settings'> & {
	/** One line per mistake: path of the setting, expected form and actual value. */
	mistakes: string[];
};
