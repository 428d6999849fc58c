/** The governing document that operators edit: schema, validation, edits, history and the version in force. */
export type {
	ChangeRecord, DocumentDifference, DocumentError, DocumentErrorKind, DocumentMistake, DocumentResult, GoverningDocument,
	HistoryEntry, SectionName, SectionTexts, StoredDocument, VersionedDocument,
} from './definitions.js';
export {type ChangeMetadata} from './domain/change.js';
export {defaultDocument, type DefaultDocumentOptions, stringifySections} from './domain/default-document.js';
export {computeDifference, type Difference, formatDifference} from './domain/line-difference.js';
export {formatMistake} from './domain/mistake-messages.js';
export {renderDocumentReference} from './domain/reference.js';
export {type FieldEdit, parseFieldEdit, setFields} from './domain/set-fields.js';
export {parseDocument} from './domain/parse-document.js';
export {
	type DatabaseLimits, type GoverningSections, type GoverningSectionsInput, type MonitorWords, type ServiceObjective,
} from './domain/schema.js';
export {isSectionName, sectionNames, sectionTeams} from './domain/sections.js';
export {readStoredDocument} from './domain/stored-document.js';
export {type AcceptedChange, type SubmitOptions} from './core/submit-change.js';
export {
	createDocument, type DocumentCreation, type DocumentRepair, repairDocument,
} from './core/create-document.js';
export {differenceBetweenVersions, listChanges, listChangesBetween} from './core/document-history.js';
export {
	DocumentInForce, type DocumentChangeListener, type DocumentStatus, type ApplyOutcome,
} from './core/document-in-force.js';
export {documentObjectName, DocumentStore} from './core/document-store.js';
export {editSection, type SectionEdit} from './core/edit-section.js';
