/** The governing document as this proxy follows it. */
export {DocumentPolicy} from './core/document-policy.js';
export {PeerDocumentSource} from './core/peer-document-source.js';
