/** Spread of the governing document from the platform to every proxy. */
export type {
	DisseminationOptions, DisseminationSettings, DocumentContent, DocumentGossip, DocumentInForce, PeerDocuments,
} from './definitions.js';
export {defaultDisseminationSettings} from './definitions.js';
export {DocumentDissemination} from './core/document-dissemination.js';
export {documentName} from './core/platform-documents.js';
export {isDocumentWatcher} from './domain/watchers.js';
