import {z} from 'zod';

/** Schemas of the responses of the platform's HTTP API, which are validated because they come from another system. */
const version = z.number().int().positive();
const revision = z.number().int().nonnegative();

export const objectResponseSchema = z.object({name: z.string(), version, value: z.unknown()});
/** The items of a list are decoded one by one, because one that another system has spoilt must not hide the others. */
export const listResponseSchema = z.object({objects: z.array(z.unknown()), revision});
export const putResponseSchema = z.object({version});
export const removeResponseSchema = z.object({});
export const watchResponseSchema = z.object({
	changes: z.array(z.object({name: z.string(), version, value: z.unknown().optional()})),
	revision,
});
export const hostsResponseSchema = z.object({hosts: z.array(z.unknown())});
export const hostSchema = z.object({
	hostId: z.string(),
	role: z.enum(['proxy', 'endpoint']),
	address: z.string(),
	failureDomain: z.string(),
	region: z.string(),
	state: z.enum(['live', 'leaving']),
});
