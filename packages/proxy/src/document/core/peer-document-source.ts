import {type DocumentContent, type DocumentInForce, type PeerDocuments} from '@dogwoodthread/coordination';
import {err, ok, type Result} from 'neverthrow';
import {type PeerQueries} from '../../peer/index.js';

/** Contents of the governing document from other proxies, as differences where possible. */
export class PeerDocumentSource implements PeerDocuments {
	constructor(private readonly peers: PeerQueries, private readonly inForce: DocumentInForce) {}

	async fetch(peerAddress: string, knownVersion: number): Promise<Result<DocumentContent | undefined, unknown>> {
		const answer = await this.peers.getDocument(peerAddress, knownVersion);
		if (!answer) {
			return err(new Error(`${peerAddress} did not answer.`));
		}

		// A difference is of use only while the version that it was made from is in force.
		if (answer.content !== undefined && this.inForce.version !== knownVersion) {
			return ok(undefined);
		}

		return ok(answer.content === undefined ? undefined : {version: answer.version, content: answer.content});
	}
}
