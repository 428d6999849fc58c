import {
	type Document, isNode, LineCounter, parseDocument as parseYaml, type YAMLError,
} from 'yaml';
import {err, ok, type Result} from 'neverthrow';
import {type DocumentMistake, type SectionName} from '../definitions.js';
import {splitEntries, type TextEntry} from './section-entries.js';

/** A section's value with the lines that its parts come from. */
export type SectionValue = {
	value: unknown;
	/** Line of the part at `path` or of the closest part around it. */
	lineOf(path: readonly PropertyKey[]): number | undefined;
};

/** Values of a section's entries by their text, so that a new version parses only changed entries. */
export type EntryCache = {values: Map<string, unknown>};

/** Aliases that a text may use; more could expand a short text beyond memory. */
const maxAliasCount = 100;

const yamlMistake = (section: SectionName, text: string, error: YAMLError, lineOffset: number): DocumentMistake => {
	const line = error.linePos?.[0].line;
	const isDuplicate = error.code === 'DUPLICATE_KEY';
	return {
		path: section,
		line: line === undefined ? undefined : line + lineOffset,
		seen: JSON.stringify(line === undefined ? '' : text.split('\n')[line - 1]?.trim() ?? ''),
		expected: isDuplicate ? 'each key once in its object' : 'valid YAML 1.2',
		remedy: isDuplicate
			? 'Remove or rename one of the two entries with this key.'
			: `Correct the text at this line: ${error.message.split('\n')[0]}`,
	};
};

/** A value that was not parsed from text. */
export const plainSection = (value: unknown): SectionValue => ({value: value ?? {}, lineOf: () => undefined});

type ParsedText = {document: Document.Parsed; lines: LineCounter};

const parseText = (text: string): ParsedText => {
	const lines = new LineCounter();
	return {document: parseYaml(text, {lineCounter: lines, prettyErrors: true, version: '1.2'}), lines};
};

const lineIn = ({document, lines}: ParsedText, path: readonly PropertyKey[]): number | undefined => {
	const node: unknown = path.length === 0 ? document.contents : document.getIn(path, true);
	if (isNode(node) && node.range) {
		return lines.linePos(node.range[0]).line;
	}

	return path.length === 0 ? undefined : lineIn({document, lines}, path.slice(0, -1));
};

const parseWhole = (section: SectionName, text: string): Result<SectionValue, DocumentMistake[]> => {
	const parsed = parseText(text);
	if (parsed.document.errors.length > 0) {
		return err(parsed.document.errors.map(error => yamlMistake(section, text, error, 0)));
	}

	try {
		const value: unknown = parsed.document.toJS({maxAliasCount});
		return ok({value: value ?? {}, lineOf: path => lineIn(parsed, path)});
	} catch (error) {
		return err([{
			path: section,
			seen: 'aliases',
			expected: `at most ${maxAliasCount} uses of aliases, each with its anchor`,
			remedy: `Write the values out: ${error instanceof Error ? error.message : String(error)}`,
		}]);
	}
};

const duplicateMistakes = (section: SectionName, entries: TextEntry[]): DocumentMistake[] => {
	const seen = new Set<string>();
	return entries.flatMap(({key, firstLine, text}) => {
		const isDuplicate = seen.has(key);
		seen.add(key);
		return isDuplicate
			? [{
				path: `${section}.${key}`,
				line: firstLine,
				seen: JSON.stringify(text.split('\n')[0]),
				expected: 'each key once in its object',
				remedy: 'Remove or rename one of the two entries with this key.',
			}]
			: [];
	});
};

/** Value of each entry; undefined if an entry cannot be parsed on its own. */
const parseEntries = (section: SectionName, entries: TextEntry[], cache: EntryCache): Result<Map<string, unknown>, DocumentMistake[]> | undefined => {
	const values = new Map<string, unknown>();
	const mistakes: DocumentMistake[] = [];
	for (const {text, firstLine} of entries) {
		if (cache.values.has(text)) {
			values.set(text, cache.values.get(text));
			continue;
		}

		const {document} = parseText(text);
		mistakes.push(...document.errors.map(error => yamlMistake(section, text, error, firstLine - 1)));
		try {
			values.set(text, document.errors.length > 0 ? {} : document.toJS({maxAliasCount}));
		} catch {
			return undefined;
		}
	}

	return mistakes.length > 0 ? err(mistakes) : ok(values);
};

const assembleEntries = (section: SectionName, entries: TextEntry[], cache: EntryCache): Result<SectionValue, DocumentMistake[]> | undefined => {
	const parsed = parseEntries(section, entries, cache);
	if (parsed?.isOk()) {
		cache.values = parsed.value;
	}

	return parsed?.map(values => ({
		value: Object.fromEntries(entries.flatMap(({text}) => Object.entries(values.get(text) as Record<string, unknown>))),
		lineOf(path) {
			const entry = entries.find(({key}) => key === path[0]);
			const line = entry && lineIn(parseText(entry.text), path);
			return line === undefined ? undefined : line + entry!.firstLine - 1;
		},
	}));
};

/**
 * Parses a section's YAML text; an empty text is an empty section. Texts of plain top-level entries are
 * parsed entry by entry: the library's check for duplicate keys is quadratic (3 s for 12,000 entries).
 */
export const parseSectionText = (section: SectionName, text: string, cache?: EntryCache): Result<SectionValue, DocumentMistake[]> => {
	const entries = splitEntries(text);
	if (!entries) {
		return parseWhole(section, text);
	}

	const duplicates = duplicateMistakes(section, entries);
	return duplicates.length > 0
		? err(duplicates)
		: assembleEntries(section, entries, cache ?? {values: new Map()}) ?? parseWhole(section, text);
};
