import {type ResultAsync} from 'neverthrow';
import {type TypedError} from '@dogwoodthread/coordination';

/** A proxy as another one sees it. */
export type ProxyMember = {
	hostId: string;
	state: string;
	peerAddress: string;
	/** Version of the governing document in force there; 0 for none. */
	documentVersion: number;
};

export type ProxyError = TypedError<'proxy-unavailable'>;

/** What one proxy knows of all of them. */
export type ProxyView = {
	/** All members that the proxy does not know as dead. */
	fetchMembers(): ResultAsync<ProxyMember[], ProxyError>;
	/** Document that the proxy at `peerAddress` has in force, as `DocumentInForce` gives it to peers. */
	fetchDocument(peerAddress: string): ResultAsync<{version: number; content: string}, ProxyError>;
};
