import {type TypedError} from '@dogwoodthread/coordination';
import {z} from 'zod';

const port = z.int().min(0).max(65_535).default(0);

/**
 * Settings of `dogwood-proxy`. Unknown keys are refused. Ports of 0 are chosen by the system and
 * printed in the ready line.
 */
export const proxySettingsSchema = z.strictObject({
	/** Name of this host, unique in the fleet. Required. */
	hostId: z.string().min(1),
	/** Failure domain of this host. Required. */
	failureDomain: z.string().min(1),
	/** Region of this host. Default: `default`. */
	region: z.string().min(1).default('default'),
	/** IP address to listen on and to announce to peers. Default: 127.0.0.1. */
	host: z.string().min(1).default('127.0.0.1'),
	/** TCP port for callers. Default: 0. */
	callerPort: port,
	/** TCP port for other proxies. Default: 0. */
	peerPort: port,
	/** UDP port for gossip. Default: 0. */
	gossipPort: port,
	/** TCP port for metrics, health and status. Default: 0. */
	adminPort: port,
	/** Base URL of the platform's object service. Required. */
	platformUrl: z.url(),
	/** Time after which a call of the platform counts as failed, in ms. Default: 2,000. */
	platformTimeoutMs: z.int().min(10).max(60_000).default(2000),
	/** Gossip addresses (`ip:port`) of other proxies to join. Default: none. */
	seeds: z.array(z.string().regex(/^\S+:\d+$/, 'expected ip:port')).default([]),
	/** Databases to prepare at start, before the first request asks for them. Default: none. */
	databases: z.array(z.string().min(1)).default([]),
	/** Keys of session tokens, at least 16 characters each; the first signs, all verify. Required. */
	tokenKeys: z.array(z.string().min(16)).min(1).optional(),
	/** Single key of session tokens; use `tokenKeys` to rotate. */
	tokenKey: z.string().min(8).optional(),
	/** Admission policy: `fair`, or `fifo` as a baseline for measurements. Default: fair. */
	policy: z.enum(['fair', 'fifo']).default('fair'),
	/** How long evidence against a primary must last before it is replaced, in ms. Default: 1,000. */
	detectionMs: z.int().min(100).max(60_000).default(1000),
	/** Time to wait for a connection to an instance, in ms. Default: 500. */
	connectTimeoutMs: z.int().min(20).max(30_000).default(500),
	/** Time without an answer after which a connection for short work counts as silent, in ms. Default: 1,500. */
	progressTimeoutMs: z.int().min(50).max(600_000).default(1500),
	/** Age of an unconfirmed write at which new writes are refused, in ms. Default: 1,000. */
	unconfirmedBoundMs: z.int().min(50).max(60_000).default(1000),
	/** Longest a transaction may stay open, in ms. Default: 30,000. */
	transactionTimeoutMs: z.int().min(100).max(3_600_000).default(30_000),
	/** Longest a transaction may wait for its next step, in ms. Default: 5,000. */
	transactionIdleMs: z.int().min(50).max(3_600_000).default(5000),
	/** Time between not being ready and refusing new requests at shutdown, in ms. Default: 1,000. */
	shutdownNoticeMs: z.int().min(0).max(60_000).default(1000),
	/** Longest time for requests in flight to finish at shutdown, in ms. Default: 10,000. */
	drainMs: z.int().min(0).max(600_000).default(10_000),
	/** Level of the log. Default: info. */
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
}).refine(value => value.tokenKeys ?? value.tokenKey, {
	path: ['tokenKeys'],
	error: 'expected at least one key of 16 characters or more',
	// Also checked beside other mistakes, so that all are reported at once.
	when: ({value}) => typeof value === 'object' && value !== null,
});

export type ProxySettings = z.infer<typeof proxySettingsSchema>;

export type SettingsError = TypedError<'invalid-settings'> & {
	/** One line for each mistake: path, value seen, expected form. */
	mistakes: string[];
};
