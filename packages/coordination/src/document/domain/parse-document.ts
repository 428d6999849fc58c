import {err, ok, type Result} from 'neverthrow';
import {
	type DocumentError, type DocumentMistake, type GoverningDocument, type SectionName,
} from '../definitions.js';
import {checkAcrossFields} from './cross-field-checks.js';
import {formatMistake, mistakesFromSchemaError, formatValue} from './mistake-messages.js';
import {type GoverningSections, sectionSchemas} from './schema.js';
import {
	type EntryCache, parseSectionText, sectionFromValue, type SectionValue,
} from './section-text.js';
import {mapSections, isSectionName, sectionNames} from './sections.js';

export const currentSchemaVersion = 1;

/** Error whose message lists all mistakes. */
export const invalidDocumentError = (mistakes: DocumentMistake[]): DocumentError => ({
	kind: 'invalid-document',
	message: `Correct ${mistakes.length} ${mistakes.length === 1 ? 'mistake' : 'mistakes'}:\n${mistakes.map(mistake => formatMistake(mistake)).join('\n')}`,
	mistakes,
});

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Parses the text of a whole document; the path of its mistakes is `document` instead of a section. */
const parseWholeText = (text: string): Result<unknown, DocumentMistake[]> => parseSectionText('databases', text)
	.map(({value}) => value)
	.mapErr(mistakes => mistakes.map(mistake => ({...mistake, path: 'document'})));

/** Extracts the sections from a stored document or from an object with one key for each section. */
const extractSections = (value: unknown): Result<Record<string, unknown>, DocumentMistake[]> => {
	if (!isObject(value)) {
		return err([{
			path: 'document', seen: formatValue(value), expected: `an object with the sections ${sectionNames.join(', ')}`, remedy: 'Write each section under its name.',
		}]);
	}

	const {schemaVersion = currentSchemaVersion} = value;
	if (schemaVersion !== currentSchemaVersion) {
		return err([{
			path: 'schemaVersion', seen: formatValue(schemaVersion), expected: String(currentSchemaVersion), remedy: 'Update this program to one that knows this schema version.',
		}]);
	}

	if (isObject(value.sections)) {
		return ok(value.sections);
	}

	return ok(Object.fromEntries(Object.entries(value).filter(([key]) => key !== 'schemaVersion')));
};

const checkSectionNames = (sections: Record<string, unknown>): DocumentMistake[] => [
	...Object.keys(sections).filter(name => !isSectionName(name)).map(name => ({
		path: name, seen: formatValue(sections[name]), expected: `one of the sections ${sectionNames.join(', ')}`, remedy: 'Remove or rename the section.',
	})),
	...sectionNames.filter(name => !Object.hasOwn(sections, name)).map(name => ({
		path: name, seen: 'nothing', expected: `the section ${name}`, remedy: 'Add the section.',
	})),
];

/** A section before validation (`value`) and after it (`output`, undefined if there are mistakes). */
type ParsedSection = {value: SectionValue; output: unknown; mistakes: DocumentMistake[]};

/** Sections parsed earlier, so that a change of one section does not require parsing the others again. */
export type SectionCache = Map<SectionName, {text: string; parsed: ParsedSection; entries: EntryCache}>;

const parseSection = (section: SectionName, raw: unknown, entries?: EntryCache): ParsedSection => {
	const read = typeof raw === 'string' ? parseSectionText(section, raw, entries) : ok(sectionFromValue(raw));
	if (read.isErr()) {
		return {value: sectionFromValue({}), output: undefined, mistakes: read.error};
	}

	const parsed = sectionSchemas[section].safeParse(read.value.value);
	return parsed.success
		? {value: read.value, output: parsed.data, mistakes: []}
		: {value: read.value, output: undefined, mistakes: mistakesFromSchemaError(section, parsed.error, read.value)};
};

const parseCached = (section: SectionName, raw: unknown, cache: SectionCache | undefined): ParsedSection => {
	const cached = cache?.get(section);
	if (cached && cached.text === raw) {
		return cached.parsed;
	}

	const entries = cached?.entries ?? {values: new Map<string, unknown>()};
	const parsed = parseSection(section, raw, entries);
	if (typeof raw === 'string') {
		cache?.set(section, {text: raw, parsed, entries});
	}

	return parsed;
};

const parseSections = (raw: Record<string, unknown>, cache: SectionCache | undefined): Result<GoverningDocument, DocumentMistake[]> => {
	const nameMistakes = checkSectionNames(raw);
	if (nameMistakes.length > 0) {
		return err(nameMistakes);
	}

	const parsed = mapSections(section => parseCached(section, raw[section], cache));
	const mistakes = sectionNames.flatMap(section => parsed[section].mistakes);
	if (mistakes.length > 0) {
		return err(mistakes);
	}

	const sections = mapSections(section => parsed[section].output) as GoverningSections;
	const crossMistakes = checkAcrossFields(sections).map(({section, path: at, mistake}) => ({...mistake, line: parsed[section].value.lineOf(at)}));
	return crossMistakes.length > 0 ? err(crossMistakes) : ok({schemaVersion: currentSchemaVersion, ...sections});
};

/**
 * Validates a governing document and fills in its defaults. `input` is YAML text or a value, either a
 * stored document or an object with one key for each section; a section is YAML text or a value.
 */
export const parseDocument = (input: unknown, cache?: SectionCache): Result<GoverningDocument, DocumentError> => {
	const value = typeof input === 'string' ? parseWholeText(input) : ok(input);
	return value.andThen(extractSections).andThen(sections => parseSections(sections, cache)).mapErr(invalidDocumentError);
};
