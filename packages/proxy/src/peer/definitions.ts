import {
	type ExecuteRequest, type ExecuteResponse, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {type PeerOwnershipClient} from '../directory/index.js';

/**
 * - `answered`: the owner's response.
 * - `not-acting`: the receiver is not the acting owner of the database; nothing ran.
 * - `not-sent`: no connection to the peer; nothing ran.
 * - `lost`: the request was sent and no response arrived; it may have run.
 */
export type ForwardResult =
	| {kind: 'answered'; response: ExecuteResponse}
	| {kind: 'not-acting'}
	| {kind: 'not-sent'}
	| {kind: 'lost'};

/** Forwards requests to owners on other hosts. */
export type RequestForwarder = {
	forward(peerAddress: string, request: ExecuteRequest): Promise<ForwardResult>;
	transact(peerAddress: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse>;
};

/** Unary queries to other proxies; undefined means that the peer did not answer. */
export type PeerQueries = PeerOwnershipClient & {
	getDocument(peerAddress: string, knownVersion: number): Promise<{version: number; content: string | undefined} | undefined>;
	observeEndpoint(peerAddress: string, query: {database: string; memberId: string; address: string; timeoutMs: number}): Promise<boolean | undefined>;
};
