import {stringify} from 'yaml';
import {type SectionName, type SectionTexts} from '../definitions.js';
import {type GoverningSectionsInput} from './schema.js';
import {mapSections, sectionTeams} from './sections.js';

export type DefaultDocumentOptions = {
	/** Authors of each section. Default: one author named after the section's team. */
	authors?: Partial<Record<SectionName, string[]>>;
};

/**
 * Sections of a first document: the limits of the databases, and defaults in all other fields.
 * Pass limits by database name, or only the names to give each 5 slots and 35 connections, which suits
 * the instances of both customers.
 */
export const defaultDocument = (
	databases: readonly string[] | GoverningSectionsInput['databases'],
	options: DefaultDocumentOptions = {},
): GoverningSectionsInput => ({
	databases: Array.isArray(databases)
		? Object.fromEntries(databases.map((name: string) => [name, {slots: 5, connections: 35}]))
		: databases as GoverningSectionsInput['databases'],
	applications: {statements: {}, retryBudget: {ratio: 0.1, burst: 20}},
	operations: {
		requestTimeoutMs: 5000,
		detectionMs: 1000,
		unconfirmedBoundMs: 2000,
		drainMs: 30_000,
		leavingMs: 2000,
		documentConfirmationBoundMs: 60_000,
		staleDocumentMakesUnready: false,
		teams: mapSections(section => options.authors?.[section] ?? [sectionTeams[section]]),
	},
	monitor: {
		words: {},
		objectives: [
			{
				name: 'answered', kind: 'availability', targetRatio: 0.999, windowDays: 28,
			},
			{
				name: 'fast-short-work', kind: 'latency', workClass: 'short', targetRatio: 0.99, thresholdMs: 1000, windowDays: 28,
			},
		],
	},
});

/** Converts section values to YAML texts. */
export const stringifySections = (sections: GoverningSectionsInput): SectionTexts => mapSections(section => stringify(sections[section]));
