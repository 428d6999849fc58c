import {type DocumentContent, type DocumentInForce, type PeerDocuments} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type PeerQueries} from '../../peer/index.js';

/** Fetches the governing document from other proxies, as a difference to the known version where possible. */
export class PeerDocumentSource implements PeerDocuments {
	constructor(private readonly peers: PeerQueries, private readonly documentInForce: DocumentInForce) {}

	async fetch(peerAddress: string, knownVersion: number): Promise<Result<DocumentContent | undefined, unknown>> {
		const answer = await this.peers.getDocument(peerAddress, knownVersion);
		if (!answer) {
			return err(new Error(`Proxy ${peerAddress} did not answer the request for the governing document.`));
		}

		// A difference can be applied only while the version that it is based on is in force.
		if (answer.content !== undefined && this.documentInForce.version !== knownVersion) {
			return ok(undefined);
		}

		return ok(answer.content === undefined ? undefined : {version: answer.version, content: answer.content});
	}
}
