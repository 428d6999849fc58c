import {
	type Document, isMap, parse as parseValue, parseDocument as parseYaml, type ToStringOptions,
} from 'yaml';
import {err, ok, type Result} from 'neverthrow';
import {splitEntries, type TextEntry} from './section-entries.js';

/** A field to set, or to remove if it has no value. */
export type FieldEdit = {path: string[]; value?: unknown};

/** Keeps the style that people write; the library would fold long lines and pad flow collections. */
const rendering: ToStringOptions = {lineWidth: 0, flowCollectionPadding: false};

/** Reads `path/to/field=value`; the value is YAML. */
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

const editText = (text: string, edits: FieldEdit[]): string => {
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

	return isMap(document.contents) && document.contents.items.length === 0 ? '' : document.toString(rendering);
};

const keyOf = ({path}: FieldEdit): string => path[0] ?? '';

const editEntry = ({key, text}: TextEntry, edits: readonly FieldEdit[]): string => {
	const own = edits.filter(edit => keyOf(edit) === key);
	if (own.length === 0) {
		return text;
	}

	// Comments at the end of a removed entry belong to the one after it.
	return editText(text, own) || (/(?:\n(?:#.*)?)*$/.exec(text)?.[0].slice(1) ?? '');
};

/** Sets fields in a section's text. Only entries that are edited are written anew; comments stay. */
export const setFields = (text: string, edits: readonly FieldEdit[]): Result<string, string> => {
	const entries = splitEntries(text);
	try {
		if (!entries) {
			return ok(editText(text, [...edits]));
		}

		const head = text.split('\n').slice(0, (entries.at(0)?.firstLine ?? 1) - 1).map(line => `${line}\n`).join('');
		const edited = entries.map(entry => editEntry(entry, edits));
		const added = edits.filter(edit => !entries.some(({key}) => key === keyOf(edit)));
		const body = edited.map(part => part === '' || part.endsWith('\n') ? part : `${part}\n`).join('');
		return ok(head + body + (added.length > 0 ? editText('', added) : ''));
	} catch (error) {
		return err(`The fields cannot be set in this text: ${error instanceof Error ? error.message : String(error)}`);
	}
};
