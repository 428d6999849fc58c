import {
	type Document, isMap, parse as parseValue, parseDocument as parseYaml, type ToStringOptions,
} from 'yaml';
import {err, ok, type Result} from 'neverthrow';
import {splitEntries, type TextEntry} from './section-entries.js';

/** A field to set, or to remove if `value` is undefined. */
export type FieldEdit = {path: string[]; value?: unknown};

/** Keeps the style of hand-written text: by default the library folds long lines and pads flow collections. */
const yamlOutputOptions: ToStringOptions = {lineWidth: 0, flowCollectionPadding: false};

/** Parses `path/to/field=value`; the value is YAML. */
export const parseFieldEdit = (text: string): Result<FieldEdit, string> => {
	const [, path, value] = /^(?<path>[^=]+)=(?<value>.*)$/s.exec(text) ?? [];
	if (path === undefined || value === undefined) {
		return err(`"${text}" is not of the form path/to/field=value.`);
	}

	try {
		return ok({path: path.split('/'), value: parseValue(value) as unknown});
	} catch (error) {
		return err(`The value in "${text}" is not YAML: ${error instanceof Error ? error.message : String(error)}`);
	}
};

const editYaml = (text: string, edits: FieldEdit[]): string => {
	const document: Document = parseYaml(text);
	if (!isMap(document.contents)) {
		document.contents = document.createNode({});
	}

	for (const {path, value} of edits) {
		if (value === undefined) {
			document.deleteIn(path);
		} else {
			document.setIn(path, value);
		}
	}

	return isMap(document.contents) && document.contents.items.length === 0 ? '' : document.toString(yamlOutputOptions);
};

const entryKeyOf = ({path}: FieldEdit): string => path[0] ?? '';

const editEntry = ({key, text}: TextEntry, edits: readonly FieldEdit[]): string => {
	const entryEdits = edits.filter(edit => entryKeyOf(edit) === key);
	if (entryEdits.length === 0) {
		return text;
	}

	// Comments at the end of a removed entry are kept, because they belong to the next entry.
	return editYaml(text, entryEdits) || (/(?:\n(?:#.*)?)*$/.exec(text)?.[0].slice(1) ?? '');
};

/** Sets fields in a section's text. Only edited entries are rewritten; comments are kept. */
export const setFields = (text: string, edits: readonly FieldEdit[]): Result<string, string> => {
	const entries = splitEntries(text);
	try {
		if (!entries) {
			return ok(editYaml(text, [...edits]));
		}

		const leadingLines = text.split('\n').slice(0, (entries.at(0)?.firstLine ?? 1) - 1).map(line => `${line}\n`).join('');
		const editedEntries = entries.map(entry => editEntry(entry, edits));
		const newEntryEdits = edits.filter(edit => !entries.some(({key}) => key === entryKeyOf(edit)));
		const body = editedEntries.map(part => part === '' || part.endsWith('\n') ? part : `${part}\n`).join('');
		return ok(leadingLines + body + (newEntryEdits.length > 0 ? editYaml('', newEntryEdits) : ''));
	} catch (error) {
		return err(`The fields cannot be set in this text: ${error instanceof Error ? error.message : String(error)}`);
	}
};
