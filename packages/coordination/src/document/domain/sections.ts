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

/** Makes a value for each section. */
export const forEachSection = <T>(make: (section: SectionName) => T): Record<SectionName, T> => ({
	databases: make('databases'),
	applications: make('applications'),
	operations: make('operations'),
	monitor: make('monitor'),
});
