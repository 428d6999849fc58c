import {appendFile, readFile} from 'node:fs/promises';
import {type ServiceSample} from '@dogwoodthread/coordination';
import {err, ok, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {type ReportError, type SampleStore} from '../definitions.js';

const counterFields = {
	database: z.string(), workClass: z.string(), outcome: z.string(), count: z.number(),
};
const sampleSchema = z.object({
	atUnixMs: z.number(),
	host: z.string(),
	startedUnixMs: z.number(),
	requests: z.array(z.object({...counterFields, code: z.string()})),
	latencies: z.array(z.object({...counterFields, upToMs: z.number().nullable()})),
	reads: z.array(z.object({database: z.string(), servedBy: z.string(), count: z.number()})).optional(),
	promotions: z.array(z.object({database: z.string(), result: z.string(), count: z.number()})).optional(),
});

const parseLine = (line: string): ServiceSample | undefined => {
	try {
		return sampleSchema.safeParse(JSON.parse(line)).data;
	} catch {
		return undefined;
	}
};

/** Stores samples in a file, one JSON object per line. */
export class JsonLinesSampleStore implements SampleStore {
	constructor(private readonly path: string) {}

	append(samples: readonly ServiceSample[]): ResultAsync<void, ReportError> {
		// The leading newline ends a line that an interrupted run left incomplete, so that it does not corrupt this sample.
		const text = samples.map(sample => `\n${JSON.stringify(sample)}\n`).join('');
		return ResultAsync.fromPromise(appendFile(this.path, text), cause => this.#failure('written', cause));
	}

	readAll(): ResultAsync<{samples: ServiceSample[]; damagedLines: number}, ReportError> {
		return ResultAsync.fromPromise(readFile(this.path, 'utf8'), cause => cause)
			.orElse(cause => cause instanceof Error && 'code' in cause && cause.code === 'ENOENT' ? ok('') : err(this.#failure('read', cause)))
			.map(text => {
				const lines = text.split('\n').filter(Boolean);
				const samples = lines.map(line => parseLine(line)).filter(sample => sample !== undefined);
				return {samples, damagedLines: lines.length - samples.length};
			});
	}

	#failure(operation: string, cause: unknown): ReportError {
		return {
			kind: 'samples-unavailable',
			message: `The samples file ${this.path} cannot be ${operation} (${cause instanceof Error ? cause.message : String(cause)}); check the path and its permissions.`,
		};
	}
}
