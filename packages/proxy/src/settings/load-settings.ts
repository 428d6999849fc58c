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

function describe({path, message}: z.core.$ZodIssue, root: unknown): string {
	let seen: unknown = root;
	for (const key of path) {
		seen = typeof seen === 'object' && seen !== null ? (seen as Record<PropertyKey, unknown>)[key] : undefined;
	}

	const where = path.length === 0 ? '(root)' : path.join('.');
	return `${where}: ${message} (seen: ${seen === undefined ? 'nothing' : JSON.stringify(seen)})`;
}
