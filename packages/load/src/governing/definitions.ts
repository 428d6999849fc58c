import {type SectionName} from '@dogwoodthread/coordination';

/** What a proxy's process said about itself. Times are monotonic, in ms. */
export type VersionObservation = {
	hostId: string;
	/** Distinguishes the processes that run under one host id after each other. */
	processId: number;
	sentAtMs: number;
	receivedAtMs: number;
	version: number;
	ready: boolean;
};

/** Digest of the content that a process has in force as one version. */
export type ContentObservation = {hostId: string; version: number; digest: string};

/** How an edit ended for its author. */
export type EditRecord = {
	changeId: string;
	section: SectionName;
	/** Part of the run in which the edit was started. */
	phase: string;
	/** `unresolved`: its outcome was still unknown when the author gave up. */
	outcome: 'accepted' | 'refused' | 'unresolved';
	/** Kind of the error, if it was not accepted. */
	errorKind?: string;
	acceptedVersion?: number;
	/** When the write that took effect was sent; the platform accepted it later than that. */
	acceptedAtMs?: number;
};

export type Period = {fromMs: number; toMs: number};

/** Everything that a run recorded, with the document and the history at its end. */
export type DocumentTruth = {
	edits: readonly EditRecord[];
	observations: readonly VersionObservation[];
	contents: readonly ContentObservation[];
	hostIds: readonly string[];
	outages: readonly Period[];
	pauses: ReadonlyArray<Period & {hostId: string}>;
	finalTexts: Readonly<Record<SectionName, string>>;
	history: ReadonlyArray<{changeId: string; version: number}>;
};

export type HarmCounts = {
	/** Accepted, but not in the document or not in the history. */
	lostChanges: number;
	/** More than once in the document or in the history. */
	doubledChanges: number;
	/** A version went down, or a restarted proxy was ready below what had been in force on all. */
	reverts: number;
	/** Versions that were seen with two contents. */
	splits: number;
	/** Refused but in the history, or accepted as another version than the history says. */
	wronglyReported: number;
	unresolvedChanges: number;
	/** Accepted changes that a proxy running at the end never had in force. */
	neverInForce: number;
};
