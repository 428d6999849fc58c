/** Dissemination of the governing document from the platform to every proxy. */
export type {
	DisseminationOptions, DisseminationSettings, DocumentContent, DocumentGossip, DocumentReceiver, PeerDocuments,
} from './definitions.js';
export {defaultDisseminationSettings} from './definitions.js';
export {DocumentDissemination} from './core/document-dissemination.js';
export {isDocumentWatcher} from './domain/watchers.js';
export {InForceReceiver} from './infra/in-force-receiver.js';
