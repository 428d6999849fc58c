import {type Result} from 'neverthrow';
import {
	type DocumentConfirmation, type DocumentVersionListener, type GossipLogger, type MembershipView,
} from '../membership/index.js';
import {type Platform} from '../platform/index.js';
import {type RandomSource} from '../random/index.js';
import {type TimerService} from '../timer/index.js';

/** A version of the governing document with its content, which is opaque here. */
export type DocumentContent = {version: number; content: unknown};

/** Document contents of other members. */
export type PeerDocuments = {
	/** Gives nothing if the member has no version above `knownVersion`. May reject or stay silent. */
	fetch(peerAddress: string, knownVersion: number): Promise<Result<DocumentContent | undefined, unknown>>;
};

/** The document that this process works by. */
export type DocumentReceiver = {
	/** Version in force; 0 for none. */
	readonly version: number;
	/** Puts the content in force, or refuses it and leaves `version` as it is. */
	offer(version: number, content: unknown): void;
};

/** What dissemination needs of the membership. */
export type DocumentGossip = MembershipView & {
	onDocumentVersion(listener: DocumentVersionListener): () => void;
	setDocumentVersion(version: number): void;
	setDocumentConfirmation(confirmation: DocumentConfirmation): void;
};

/** Times in ms. */
export type DisseminationSettings = {
	/** Members of a failure domain that watch the platform. */
	watchersPerDomain: number;
	/** Longest wait of one watch call, and with it the usual age of a confirmation. */
	watchWaitMs: number;
	/** Time without an answer after which a call or a watch past its wait counts as failed. */
	callTimeoutMs: number;
	/** Random delay before a fetch, so that members that learn a version together don't ask one peer at once. */
	fetchJitterMs: number;
	minBackoffMs: number;
	maxBackoffMs: number;
	/** Peers that are asked for the content before the platform is. */
	peersToAsk: number;
};

export const defaultDisseminationSettings: DisseminationSettings = {
	watchersPerDomain: 2,
	watchWaitMs: 5000,
	callTimeoutMs: 3000,
	fetchJitterMs: 100,
	minBackoffMs: 250,
	maxBackoffMs: 10_000,
	peersToAsk: 3,
};

export type DisseminationOptions = {
	platform: Platform;
	membership: DocumentGossip;
	peers: PeerDocuments;
	inForce: DocumentReceiver;
	timers: TimerService;
	random: RandomSource;
	settings?: Partial<DisseminationSettings>;
	logger?: GossipLogger;
};

/** What the parts of the dissemination share. */
export type DisseminationContext = Omit<DisseminationOptions, 'settings'> & {
	settings: DisseminationSettings;
	isStopped(): boolean;
	/** Whether this or a higher version is in force, or the process refused the version. */
	isSettled(version: number): boolean;
	/** Offers a content to the process if its version is higher than the one in force. */
	apply(document: DocumentContent): void;
};
