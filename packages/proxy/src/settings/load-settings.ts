import {err, ok, type Result} from 'neverthrow';
import {parseDocument as parseYaml} from 'yaml';
import {type z} from 'zod';
import {type SettingsError} from './definitions.js';

const createSettingsError = (mistakes: string[]): SettingsError => ({
	kind: 'invalid-settings',
	message: `The settings have ${mistakes.length} mistake(s); correct them and start again.`,
	mistakes,
});

/** Parses and validates settings in YAML; reports all mistakes at once. */
export function loadSettings<Schema extends z.ZodType>(text: string, schema: Schema): Result<z.infer<Schema>, SettingsError> {
	const document = parseYaml(text, {uniqueKeys: true});
	if (document.errors.length > 0) {
		// Only the first line: the rest of the message quotes the file, which may contain token keys.
		return err(createSettingsError(document.errors.map(({message}) => message.split('\n')[0]!.replace(/:$/, '.'))));
	}

	const value: unknown = document.toJS() ?? {};
	const parsed = schema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err(createSettingsError(parsed.error.issues.flatMap(issue => formatIssue(issue, value))));
}

/** Settings whose values must not be printed or logged. */
const secretFields: ReadonlySet<PropertyKey> = new Set(['tokenKeys', 'tokenKey']);

function formatIssue(issue: z.core.$ZodIssue, root: unknown): string[] {
	return issue.code === 'unrecognized_keys'
		? issue.keys.map(key => formatMistake([...issue.path, key], 'no such setting; remove it or correct its name', root))
		: [formatMistake(issue.path, issue.message, root)];
}

function formatMistake(path: PropertyKey[], message: string, root: unknown): string {
	let actual: unknown = root;
	for (const key of path) {
		actual = typeof actual === 'object' && actual !== null ? (actual as Record<PropertyKey, unknown>)[key] : undefined;
	}

	const location = path.length === 0 ? '(root)' : path.join('.');
	return `${location}: ${message} (seen: ${formatActualValue(path, actual)})`;
}

function formatActualValue(path: PropertyKey[], actual: unknown): string {
	if (actual === undefined) {
		return 'nothing';
	}

	return path.some(key => secretFields.has(key)) ? 'hidden' : JSON.stringify(actual);
}
