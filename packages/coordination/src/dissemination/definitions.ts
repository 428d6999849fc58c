import {type Result} from 'neverthrow';
import {
	type DocumentConfirmation, type DocumentVersionListener, type GossipLogger, type MembershipView,
} from '../membership/index.js';
import {type Platform} from '../platform/index.js';
import {type RandomSource} from '../random/index.js';
import {type TimerService} from '../timer/index.js';

/** A version of the governing document. Dissemination does not interpret the content. */
export type DocumentContent = {version: number; content: unknown};

/** Client that fetches document contents from other members. */
export type PeerDocuments = {
	/** Resolves to `undefined` if the member has no version above `knownVersion`. The call may reject or never settle. */
	fetch(peerAddress: string, knownVersion: number): Promise<Result<DocumentContent | undefined, unknown>>;
};

/** Receives document versions and puts them in force on this process. */
export type DocumentReceiver = {
	/** Version in force; 0 for none. */
	readonly version: number;
	/** Puts the content in force, or refuses it and leaves `version` unchanged. */
	offer(version: number, content: unknown): void;
};

/** The subset of the membership that dissemination uses. */
export type DocumentGossip = MembershipView & {
	onDocumentVersion(listener: DocumentVersionListener): () => void;
	setDocumentVersion(version: number): void;
	setDocumentConfirmation(confirmation: DocumentConfirmation): void;
};

/** Times in ms. */
export type DisseminationSettings = {
	/** Number of members per failure domain that watch the platform. */
	watchersPerDomain: number;
	/** Maximum wait of one watch call; it also determines the usual age of a confirmation. */
	watchWaitMs: number;
	/** Timeout of a call; for a watch it is added to the wait. */
	callTimeoutMs: number;
	/** Random delay before a fetch, so that members that learn of a version at the same time don't all ask one peer at once. */
	fetchJitterMs: number;
	minBackoffMs: number;
	maxBackoffMs: number;
	/** Maximum number of random peers, besides the announcer, that a fetch asks before it asks the platform. */
	maxPeersPerFetch: number;
};

export const defaultDisseminationSettings: DisseminationSettings = {
	watchersPerDomain: 2,
	watchWaitMs: 5000,
	callTimeoutMs: 3000,
	fetchJitterMs: 100,
	minBackoffMs: 250,
	maxBackoffMs: 10_000,
	maxPeersPerFetch: 3,
};

export type DisseminationOptions = {
	platform: Platform;
	membership: DocumentGossip;
	peers: PeerDocuments;
	documentReceiver: DocumentReceiver;
	timers: TimerService;
	random: RandomSource;
	settings?: Partial<DisseminationSettings>;
	logger?: GossipLogger;
};

/** State and dependencies shared by the components of the dissemination. */
export type DisseminationContext = Omit<DisseminationOptions, 'settings'> & {
	settings: DisseminationSettings;
	isStopped(): boolean;
	/** Whether this version needs no fetch: this or a higher version is in force or was refused. */
	isSettled(version: number): boolean;
	/** Offers the document to the receiver unless its version is settled. */
	apply(document: DocumentContent): void;
};
