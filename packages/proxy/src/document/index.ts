/** Adapters between this proxy and the governing document. */
export {DocumentPolicy} from './core/document-policy.js';
export {PeerDocumentSource} from './core/peer-document-source.js';
