import {readFileSync} from 'node:fs';
import {parse} from 'yaml';
import {z} from 'zod';
import {hostsSchema} from '../domain/hosts.js';

const settingsSchema = z.strictObject({
	/** Port on 127.0.0.1; 0 takes a free one. */
	port: z.number().int().min(0).max(65_535).default(0),
	/** Hosts that the list starts with. */
	hosts: hostsSchema.default([]),
	logLevel: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

export type PlatformSettings = z.infer<typeof settingsSchema>;

/** Reads the settings file, or gives the defaults without one. Throws with all mistakes listed. */
export const readPlatformSettings = (file: string | undefined): PlatformSettings => {
	const value: unknown = file === undefined ? {} : parse(readFileSync(file, 'utf8'));
	const parsed = settingsSchema.safeParse(value ?? {});
	if (!parsed.success) {
		throw new Error(`Correct these fields in ${file}:\n${z.prettifyError(parsed.error)}`);
	}

	return parsed.data;
};
