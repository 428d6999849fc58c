import {err, ok, type Result} from 'neverthrow';
import {parseDocument as parseYaml} from 'yaml';
import {type z} from 'zod';
import {type SettingsError} from './definitions.js';

const failure = (mistakes: string[]): SettingsError => ({
	kind: 'invalid-settings',
	message: `The settings have ${mistakes.length} mistake(s); correct them and start again.`,
	mistakes,
});

/** Parses YAML settings and checks them; reports all mistakes at once. */
export function loadSettings<Schema extends z.ZodType>(text: string, schema: Schema): Result<z.infer<Schema>, SettingsError> {
	const document = parseYaml(text, {uniqueKeys: true});
	if (document.errors.length > 0) {
		return err(failure(document.errors.map(({message}) => message)));
	}

	const value: unknown = document.toJS() ?? {};
	const parsed = schema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err(failure(parsed.error.issues.map(issue => describe(issue, value))));
}

/** Settings whose values are secret and stay out of messages. */
const secretKeys = new Set<PropertyKey>(['tokenKeys', 'tokenKey']);

function describe({path, message}: z.core.$ZodIssue, root: unknown): string {
	// A mistake of the whole file names its keys itself; showing the file would show its secrets.
	return path.length === 0
		? `(root): ${message}`
		: `${path.join('.')}: ${message} (seen: ${describeSeen(path, root)})`;
}

function describeSeen(path: PropertyKey[], root: unknown): string {
	let seen: unknown = root;
	for (const key of path) {
		seen = typeof seen === 'object' && seen !== null ? (seen as Record<PropertyKey, unknown>)[key] : undefined;
	}

	if (seen === undefined) {
		return 'nothing';
	}

	return secretKeys.has(path[0]!) ? 'a value that is not shown' : JSON.stringify(seen);
}
