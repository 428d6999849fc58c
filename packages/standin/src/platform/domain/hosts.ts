import {z} from 'zod';

/** Body of `PUT /v1/hosts`. */
export const hostsSchema = z.array(z.strictObject({
	hostId: z.string().min(1),
	role: z.enum(['proxy', 'endpoint']),
	address: z.string().min(1),
	failureDomain: z.string().min(1),
	region: z.string().min(1),
	state: z.enum(['live', 'leaving']),
}));
