import {err, ok, type Result} from 'neverthrow';
import {
	type DocumentError, type DocumentMistake, type GoverningDocument, type SectionName,
} from '../definitions.js';
import {crossCheck} from './cross-checks.js';
import {formatMistake, schemaMistakes, seenText} from './mistakes.js';
import {type GoverningSections, sectionSchemas} from './schema.js';
import {
	type EntryCache, parseSectionText, plainSection, type SectionValue,
} from './section-text.js';
import {forEachSection, isSectionName, sectionNames} from './sections.js';

export const currentSchemaVersion = 1;

/** Error that lists all mistakes. */
export const invalidDocument = (mistakes: DocumentMistake[]): DocumentError => ({
	kind: 'invalid-document',
	message: `Correct ${mistakes.length} ${mistakes.length === 1 ? 'mistake' : 'mistakes'}:\n${mistakes.map(mistake => formatMistake(mistake)).join('\n')}`,
	mistakes,
});

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Reads a whole text as YAML; its mistakes name the document instead of a section. */
const readText = (text: string): Result<unknown, DocumentMistake[]> => parseSectionText('databases', text)
	.map(({value}) => value)
	.mapErr(mistakes => mistakes.map(mistake => ({...mistake, path: 'document'})));

/** Takes the sections out of a stored document or out of an object with one key for each section. */
const readSections = (value: unknown): Result<Record<string, unknown>, DocumentMistake[]> => {
	if (!isObject(value)) {
		return err([{
			path: 'document', seen: seenText(value), expected: `an object with the sections ${sectionNames.join(', ')}`, remedy: 'Write each section under its name.',
		}]);
	}

	const {schemaVersion = currentSchemaVersion} = value;
	if (schemaVersion !== currentSchemaVersion) {
		return err([{
			path: 'schemaVersion', seen: seenText(schemaVersion), expected: String(currentSchemaVersion), remedy: 'Update this program to one that knows this schema version.',
		}]);
	}

	if (isObject(value.sections)) {
		return ok(value.sections);
	}

	return ok(Object.fromEntries(Object.entries(value).filter(([key]) => key !== 'schemaVersion')));
};

const checkNames = (sections: Record<string, unknown>): DocumentMistake[] => [
	...Object.keys(sections).filter(name => !isSectionName(name)).map(name => ({
		path: name, seen: seenText(sections[name]), expected: `one of the sections ${sectionNames.join(', ')}`, remedy: 'Remove or rename the section.',
	})),
	...sectionNames.filter(name => !Object.hasOwn(sections, name)).map(name => ({
		path: name, seen: 'nothing', expected: `the section ${name}`, remedy: 'Add the section.',
	})),
];

type ParsedSection = {value: SectionValue; output: unknown; mistakes: DocumentMistake[]};

/** Sections parsed before, so that a change of one section does not parse the others again. */
export type SectionCache = Map<SectionName, {text: string; parsed: ParsedSection; entries: EntryCache}>;

const parseSection = (section: SectionName, raw: unknown, entries?: EntryCache): ParsedSection => {
	const read = typeof raw === 'string' ? parseSectionText(section, raw, entries) : ok(plainSection(raw));
	if (read.isErr()) {
		return {value: plainSection({}), output: undefined, mistakes: read.error};
	}

	const parsed = sectionSchemas[section].safeParse(read.value.value);
	return parsed.success
		? {value: read.value, output: parsed.data, mistakes: []}
		: {value: read.value, output: undefined, mistakes: schemaMistakes(section, parsed.error, read.value)};
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
	const nameMistakes = checkNames(raw);
	if (nameMistakes.length > 0) {
		return err(nameMistakes);
	}

	const parsed = forEachSection(section => parseCached(section, raw[section], cache));
	const mistakes = sectionNames.flatMap(section => parsed[section].mistakes);
	if (mistakes.length > 0) {
		return err(mistakes);
	}

	const sections = forEachSection(section => parsed[section].output) as GoverningSections;
	const crossMistakes = crossCheck(sections).map(({section, at, mistake}) => ({...mistake, line: parsed[section].value.lineOf(at)}));
	return crossMistakes.length > 0 ? err(crossMistakes) : ok({schemaVersion: currentSchemaVersion, ...sections});
};

/**
 * Validates a governing document and fills in its defaults. `input` is YAML text or a value, either a
 * stored document or an object with one key for each section; a section is YAML text or a value.
 */
export const parseDocument = (input: unknown, cache?: SectionCache): Result<GoverningDocument, DocumentError> => {
	const value = typeof input === 'string' ? readText(input) : ok(input);
	return value.andThen(readSections).andThen(sections => parseSections(sections, cache)).mapErr(invalidDocument);
};
