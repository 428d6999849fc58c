import {type ResultAsync} from 'neverthrow';
import {type TypedError} from '@dogwoodthread/coordination';

/** Entry of a proxy in another proxy's member table. */
export type ProxyMember = {
	hostId: string;
	state: string;
	peerAddress: string;
	/** Version of the governing document in force there; 0 for none. */
	documentVersion: number;
};

export type ProxyError = TypedError<'proxy-unavailable'>;

/** Reads the member table of one proxy, and the document that any proxy has in force. */
export type ProxyView = {
	/** Fetches all members except those that the proxy considers dead. */
	fetchMembers(): ResultAsync<ProxyMember[], ProxyError>;
	/** Fetches the document that the proxy at `peerAddress` has in force, as `DocumentInForce` serializes it for peers. */
	fetchDocument(peerAddress: string): ResultAsync<{version: number; content: string}, ProxyError>;
};
