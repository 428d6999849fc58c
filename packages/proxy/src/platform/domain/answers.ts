import {z} from 'zod';

/** Answers of the platform's HTTP API, checked because they come from outside. */
const version = z.number().int().positive();
const revision = z.number().int().nonnegative();

export const objectAnswer = z.object({name: z.string(), version, value: z.unknown()});
export const listAnswer = z.object({objects: z.array(objectAnswer), revision});
export const putAnswer = z.object({version});
export const removeAnswer = z.object({});
export const watchAnswer = z.object({
	changes: z.array(z.object({name: z.string(), version, value: z.unknown().optional()})),
	revision,
});
export const hostsAnswer = z.object({
	hosts: z.array(z.object({
		hostId: z.string(),
		role: z.enum(['proxy', 'endpoint']),
		address: z.string(),
		failureDomain: z.string(),
		region: z.string(),
		state: z.enum(['live', 'leaving']),
	})),
});
