import {z} from 'zod';
import {type SectionName} from '../definitions.js';
import {sectionSchemas} from './schema.js';
import {mapSections} from './sections.js';

/** The subset of JSON Schema that the sections use. */
export type FieldSchema = {
	title?: string;
	description?: string;
	type?: string;
	enum?: string[];
	default?: unknown;
	minimum?: number;
	maximum?: number;
	minLength?: number;
	maxLength?: number;
	pattern?: string;
	properties?: Record<string, FieldSchema>;
	required?: string[];
	additionalProperties?: FieldSchema | boolean;
	propertyNames?: FieldSchema;
	items?: FieldSchema;
	minItems?: number;
	maxItems?: number;
};

/** JSON schemas of the sections as written, before defaults are filled in. */
export const sectionJsonSchemas: Readonly<Record<SectionName, FieldSchema>> = mapSections(section =>
	z.toJSONSchema(sectionSchemas[section], {io: 'input'}) as FieldSchema);

const childSchema = ({additionalProperties, items, properties}: FieldSchema, key: string): FieldSchema | undefined =>
	properties?.[key] ?? (typeof additionalProperties === 'object' ? additionalProperties : undefined) ?? items;

/** Schema of the field or entry at `path`. */
export const schemaAt = (section: SectionName, path: readonly PropertyKey[]): FieldSchema | undefined => {
	let schema: FieldSchema | undefined = sectionJsonSchemas[section];
	for (const key of path) {
		schema = childSchema(schema ?? {}, String(key));
	}

	return schema;
};
