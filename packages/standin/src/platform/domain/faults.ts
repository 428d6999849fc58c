import {z} from 'zod';
import {type PlatformFaults} from '../definitions.js';

const count = z.number().int().nonnegative();

/** Body of `PUT /v1/faults`. */
export const faultsSchema = z.strictObject({
	down: z.boolean().default(false),
	delayMs: count.max(600_000).default(0),
	loseAnswers: count.default(0),
	stallWatches: z.boolean().default(false),
	hostsFrozen: z.boolean().default(false),
	ratePerSecond: z.strictObject({reads: count.positive(), writes: count.positive()}).optional(),
});

export const noFaults = (): PlatformFaults => faultsSchema.parse({});
