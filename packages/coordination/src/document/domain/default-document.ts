import {stringify} from 'yaml';
import {type SectionName, type SectionTexts} from '../definitions.js';
import {type GoverningSectionsInput} from './schema.js';
import {forEachSection, sectionTeams} from './sections.js';

export type DefaultDocumentOptions = {
	/** Authors of each section; its team's name if left out. */
	authors?: Partial<Record<SectionName, string[]>>;
};

/**
 * Sections of a first document: limits of both firms' sizes, all other fields at their defaults.
 * Give limits by name, or only names for 5 slots and 35 connections each.
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
		teams: forEachSection(section => options.authors?.[section] ?? [sectionTeams[section]]),
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

/** YAML texts of sections given as values. */
export const sectionTexts = (sections: GoverningSectionsInput): SectionTexts => forEachSection(section => stringify(sections[section]));
