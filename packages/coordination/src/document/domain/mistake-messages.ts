import {type z} from 'zod';
import {type DocumentMistake, type SectionName} from '../definitions.js';
import {schemaAt} from './json-schema.js';
import {type SectionValue} from './section-text.js';

/** Values in messages are cut after this many characters. */
const maxValueLength = 80;

/** Formats a value for a message. */
export const formatValue = (value: unknown): string => {
	const text = value === undefined ? 'nothing' : JSON.stringify(value);
	return text.length > maxValueLength ? `${text.slice(0, maxValueLength)}...` : text;
};

export const formatPath = (section: SectionName, path: readonly PropertyKey[]): string => [section, ...path].map(String).join('.');

const valueAt = (value: unknown, path: readonly PropertyKey[]): unknown => {
	let found = value;
	for (const key of path) {
		found = typeof found === 'object' && found !== null ? (found as Record<PropertyKey, unknown>)[key] : undefined;
	}

	return found;
};

/** Levenshtein distance: the number of single-character edits between two words. */
const editDistance = (a: string, b: string): number => {
	let row = Array.from({length: b.length + 1}, (_, index) => index);
	for (const [i, letter] of [...a].entries()) {
		const next = [i + 1];
		for (const [j, other] of [...b].entries()) {
			next.push(Math.min(row[j + 1]! + 1, next[j]! + 1, row[j]! + (letter === other ? 0 : 1)));
		}

		row = next;
	}

	return row.at(-1)!;
};

/** The most similar candidate if it is close enough to be a likely misspelling. */
const findSimilarName = (word: string, candidates: string[]): string | undefined => {
	const nearest = candidates
		.map(candidate => ({candidate, distance: editDistance(word.toLowerCase(), candidate.toLowerCase())}))
		.sort((a, b) => a.distance - b.distance)
		.at(0);
	return nearest && nearest.distance <= Math.max(2, word.length / 3) ? nearest.candidate : undefined;
};

/** A size with its unit; numbers have no unit. */
const formatSize = (size: number | bigint, origin: string): string => {
	const unit = {string: ['character', 'characters'], array: ['entry', 'entries']}[origin];
	return unit ? `${size} ${unit[Number(size) === 1 ? 0 : 1]}` : String(size);
};

const formatType = (expected: string): string => expected === 'int' ? 'a whole number' : `${/^[aeio]/.test(expected) ? 'an' : 'a'} ${expected}`;

/** Describes the value that the field must have. */
const describeExpected = (issue: z.core.$ZodIssue): string => {
	if (issue.code === 'invalid_type') {
		return formatType(issue.expected);
	}

	if (issue.code === 'too_small') {
		return `at least ${formatSize(issue.minimum, issue.origin)}`;
	}

	if (issue.code === 'too_big') {
		return `at most ${formatSize(issue.maximum, issue.origin)}`;
	}

	return issue.code === 'invalid_value' ? `one of ${issue.values.map(String).join(', ')}` : issue.message;
};

const unknownKeyMistake = (section: SectionName, path: readonly PropertyKey[], key: string, value: SectionValue): DocumentMistake => {
	const knownKeys = Object.keys(schemaAt(section, path)?.properties ?? {});
	const similar = findSimilarName(key, knownKeys);
	return {
		path: formatPath(section, [...path, key]),
		line: value.lineOf([...path, key]),
		seen: formatValue(valueAt(value.value, [...path, key])),
		expected: `one of the fields ${knownKeys.join(', ')}`,
		remedy: similar ? `Rename the field to ${similar}, or remove it.` : 'Remove the field.',
	};
};

const mistakesFromIssue = (section: SectionName, issue: z.core.$ZodIssue, value: SectionValue): DocumentMistake[] => {
	if (issue.code === 'unrecognized_keys') {
		return issue.keys.map(key => unknownKeyMistake(section, issue.path, key, value));
	}

	const path = formatPath(section, issue.path);
	const line = value.lineOf(issue.path);
	if (issue.code === 'invalid_key') {
		const expected = schemaAt(section, issue.path.slice(0, -1))?.propertyNames?.title ?? 'a valid name';
		return [{
			path, line, seen: formatValue(issue.path.at(-1)), expected, remedy: 'Rename the entry.',
		}];
	}

	const found = valueAt(value.value, issue.path);
	const expected = issue.code === 'invalid_format' ? schemaAt(section, issue.path)?.title ?? issue.message : describeExpected(issue);
	return [{
		path, line, seen: formatValue(found), expected, remedy: found === undefined ? 'Add the field.' : `Set the field to ${expected}.`,
	}];
};

/** Converts the issues that the schema found in a section to mistakes. */
export const mistakesFromSchemaError = (section: SectionName, error: z.ZodError, value: SectionValue): DocumentMistake[] =>
	error.issues.flatMap(issue => mistakesFromIssue(section, issue, value));

/** Formats a mistake as one line for people. */
export const formatMistake = ({
	path, line, seen, expected, remedy,
}: DocumentMistake): string => `${path}${line === undefined ? '' : ` (line ${line})`}: found ${seen}, expected ${expected}. ${remedy}`;
