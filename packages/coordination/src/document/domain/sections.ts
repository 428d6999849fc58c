import {type SectionName} from '../definitions.js';

export const sectionNames: readonly SectionName[] = ['databases', 'applications', 'operations', 'monitor'];

/** Team that owns each section. */
export const sectionTeams: Readonly<Record<SectionName, string>> = {
	databases: 'database-owners',
	applications: 'application-owners',
	operations: 'on-call',
	monitor: 'monitor-liaison',
};

export const isSectionName = (name: string): name is SectionName => (sectionNames as readonly string[]).includes(name);

/** Builds a record with one value for each section. */
export const mapSections = <T>(createValue: (section: SectionName) => T): Record<SectionName, T> => ({
	databases: createValue('databases'),
	applications: createValue('applications'),
	operations: createValue('operations'),
	monitor: createValue('monitor'),
});
