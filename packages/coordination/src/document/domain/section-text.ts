import {
	type Document, isNode, LineCounter, parseDocument as parseYaml, type YAMLError,
} from 'yaml';
import {err, ok, type Result} from 'neverthrow';
import {type DocumentMistake, type SectionName} from '../definitions.js';
import {splitEntries, type TextEntry} from './section-entries.js';

/** A section's value, with a lookup from paths to lines of its text. */
export type SectionValue = {
	value: unknown;
	/** Line of the node at `path`, or of its closest ancestor in the text. */
	lineOf(path: readonly PropertyKey[]): number | undefined;
};

/** Values of a section's entries by entry text, so that only changed entries of a new version are parsed. */
export type EntryCache = {values: Map<string, unknown>};

/** Limit for uses of YAML aliases; without it a short text could expand until memory runs out. */
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

/** Section given as a value instead of YAML text; it has no lines. */
export const sectionFromValue = (value: unknown): SectionValue => ({value: value ?? {}, lineOf: () => undefined});

type ParsedText = {document: Document.Parsed; lines: LineCounter};

const parseText = (text: string): ParsedText => {
	const lines = new LineCounter();
	return {document: parseYaml(text, {lineCounter: lines, prettyErrors: true, version: '1.2'}), lines};
};

const findLine = ({document, lines}: ParsedText, path: readonly PropertyKey[]): number | undefined => {
	const node: unknown = path.length === 0 ? document.contents : document.getIn(path, true);
	if (isNode(node) && node.range) {
		return lines.linePos(node.range[0]).line;
	}

	return path.length === 0 ? undefined : findLine({document, lines}, path.slice(0, -1));
};

const parseWholeSection = (section: SectionName, text: string): Result<SectionValue, DocumentMistake[]> => {
	const parsed = parseText(text);
	if (parsed.document.errors.length > 0) {
		return err(parsed.document.errors.map(error => yamlMistake(section, text, error, 0)));
	}

	try {
		const value: unknown = parsed.document.toJS({maxAliasCount});
		return ok({value: value ?? {}, lineOf: path => findLine(parsed, path)});
	} catch (error) {
		return err([{
			path: section,
			seen: 'aliases',
			expected: `at most ${maxAliasCount} uses of aliases, each with its anchor`,
			remedy: `Write the values out: ${error instanceof Error ? error.message : String(error)}`,
		}]);
	}
};

const findDuplicateEntries = (section: SectionName, entries: TextEntry[]): DocumentMistake[] => {
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

/** Values by entry text; undefined if an entry cannot be parsed on its own, for example because of an alias. */
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

/** Parses the entries separately and merges them; undefined if an entry cannot be parsed on its own. */
const parseSectionByEntries = (section: SectionName, entries: TextEntry[], cache: EntryCache): Result<SectionValue, DocumentMistake[]> | undefined => {
	const parsed = parseEntries(section, entries, cache);
	if (parsed?.isOk()) {
		cache.values = parsed.value;
	}

	return parsed?.map(values => ({
		value: Object.fromEntries(entries.flatMap(({text}) => Object.entries(values.get(text) as Record<string, unknown>))),
		lineOf(path) {
			const entry = entries.find(({key}) => key === path[0]);
			const line = entry && findLine(parseText(entry.text), path);
			return line === undefined ? undefined : line + entry!.firstLine - 1;
		},
	}));
};

/**
 * Parses a section's YAML text; an empty text is an empty section. Texts that consist of plain top-level
 * entries are parsed entry by entry, because the YAML library's check for duplicate keys is quadratic in
 * the number of keys (3 s for 12,000 entries).
 */
export const parseSectionText = (section: SectionName, text: string, cache?: EntryCache): Result<SectionValue, DocumentMistake[]> => {
	const entries = splitEntries(text);
	if (!entries) {
		return parseWholeSection(section, text);
	}

	const duplicates = findDuplicateEntries(section, entries);
	return duplicates.length > 0
		? err(duplicates)
		: parseSectionByEntries(section, entries, cache ?? {values: new Map()}) ?? parseWholeSection(section, text);
};
