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
		// The rest of the message is an excerpt of the file, which may hold token keys.
		return err(failure(document.errors.map(({message}) => message.split('\n')[0]!.replace(/:$/, '.'))));
	}

	const value: unknown = document.toJS() ?? {};
	const parsed = schema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err(failure(parsed.error.issues.flatMap(issue => describe(issue, value))));
}

/** Fields whose values must not reach the log. */
const secretFields: ReadonlySet<PropertyKey> = new Set(['tokenKeys', 'tokenKey']);

function describe(issue: z.core.$ZodIssue, root: unknown): string[] {
	return issue.code === 'unrecognized_keys'
		? issue.keys.map(key => lineOf([...issue.path, key], 'no such setting; remove it or correct its name', root))
		: [lineOf(issue.path, issue.message, root)];
}

function lineOf(path: PropertyKey[], message: string, root: unknown): string {
	let seen: unknown = root;
	for (const key of path) {
		seen = typeof seen === 'object' && seen !== null ? (seen as Record<PropertyKey, unknown>)[key] : undefined;
	}

	const where = path.length === 0 ? '(root)' : path.join('.');
	return `${where}: ${message} (seen: ${shown(path, seen)})`;
}

function shown(path: PropertyKey[], seen: unknown): string {
	if (seen === undefined) {
		return 'nothing';
	}

	return path.some(key => secretFields.has(key)) ? 'hidden' : JSON.stringify(seen);
}
