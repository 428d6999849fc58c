import {type SectionName, sectionNames, type VersionedDocument} from '@dogwoodthread/coordination';

const headerPattern = /^# section (?<section>[a-z]+), version (?<version>\d+)\n/;

/** Formats a section below a header line with its version, by which `document apply` detects concurrent edits. */
export const formatSectionFile = (section: SectionName, {version, stored}: VersionedDocument): string =>
	`# section ${section}, version ${version}\n${stored.sections[section]}`;

/** Separates the header line of `formatSectionFile` from the text; a file without it has no section name or version. */
export const parseSectionFile = (content: string): {section?: string; version?: number; text: string} => {
	const match = headerPattern.exec(content);
	return match
		? {section: match.groups?.section, version: Number(match.groups?.version), text: content.slice(match[0].length)}
		: {text: content};
};

const indent = (text: string): string => text.split('\n').map(line => line === '' ? '' : `  ${line}`).join('\n');

/** Formats all sections as one YAML document. */
export const formatDocumentFile = ({version, stored}: VersionedDocument): string => [
	`# governing document, version ${version}`,
	...sectionNames.map(section => stored.sections[section].trim() === ''
		? `${section}: {}`
		: `${section}:\n${indent(stored.sections[section]).trimEnd()}`),
	'',
].join('\n');
