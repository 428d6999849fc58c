import {
	type ExecuteRequest, type ExecuteResponse, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {type PeerOwnershipClient} from '../directory/index.js';

/**
 * - `answered`: the owner's outcome.
 * - `not-acting`: the receiver does not act for the database; nothing ran.
 * - `not-sent`: no connection to the peer; nothing ran.
 * - `lost`: the request was sent and the stream ended without an answer; it may have run.
 */
export type ForwardResult =
	| {kind: 'answered'; response: ExecuteResponse}
	| {kind: 'not-acting'}
	| {kind: 'not-sent'}
	| {kind: 'lost'};

/** Forwards requests to the owners on other hosts. */
export type PeerLinks = {
	forward(peerAddress: string, request: ExecuteRequest): Promise<ForwardResult>;
	transact(peerAddress: string, steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse>;
};

/** Single questions to other proxies; undefined means no answer. */
export type PeerQueries = PeerOwnershipClient & {
	getDocument(peerAddress: string, knownVersion: number): Promise<{version: number; content: string | undefined} | undefined>;
	observeEndpoint(peerAddress: string, question: {database: string; memberId: string; address: string; timeoutMs: number}): Promise<boolean | undefined>;
};
