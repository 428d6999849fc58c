import {type DocumentError, type DocumentInForce} from '../../document/index.js';
import {type DocumentReceiver} from '../definitions.js';

/** Passes stored values from the platform and contents from peers to `DocumentInForce`. */
export class InForceReceiver implements DocumentReceiver {
	constructor(private readonly inForce: DocumentInForce, private readonly onError: (error: DocumentError) => void = () => undefined) {}

	get version(): number {
		return this.inForce.version;
	}

	offer(version: number, content: unknown): void {
		// Peers send text, which may be a delta; the platform returns the stored value.
		const offered = typeof content === 'string'
			? this.inForce.applyPeerContentIfNewer({version, content})
			: this.inForce.applyIfNewer({version, value: content});
		if (offered.isErr()) {
			this.onError(offered.error);
		}
	}
}
