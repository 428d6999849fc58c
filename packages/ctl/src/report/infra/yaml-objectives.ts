import {readFile} from 'node:fs/promises';
import {type Objective} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {parse} from 'yaml';
import {z} from 'zod';
import {type ObjectivesSource, type ReportError} from '../definitions.js';

const objectiveSchema = z.strictObject({
	name: z.string().min(1),
	kind: z.enum(['availability', 'latency']),
	database: z.string().optional(),
	workClass: z.string().optional(),
	targetRatio: z.number().gt(0).max(1),
	thresholdMs: z.number().positive().optional(),
	windowDays: z.number().positive().max(366),
}).refine(({kind, thresholdMs}) => kind !== 'latency' || thresholdMs !== undefined, 'a latency objective needs thresholdMs');

const fileSchema = z.strictObject({objectives: z.array(objectiveSchema).min(1)});

/** Reads objectives from the list `objectives` of a YAML file. */
export class YamlObjectives implements ObjectivesSource {
	constructor(private readonly path: string) {}

	async read(): Promise<Result<Objective[], ReportError>> {
		try {
			const parsed = fileSchema.safeParse(parse(await readFile(this.path, 'utf8')));
			return parsed.success ? ok(parsed.data.objectives) : err(this.#failure(z.prettifyError(parsed.error)));
		} catch (error) {
			return err(this.#failure(error instanceof Error ? error.message : String(error)));
		}
	}

	#failure(reason: string): ReportError {
		return {kind: 'objectives-invalid', message: `The objectives file ${this.path} cannot be used; correct it: ${reason}`};
	}
}
