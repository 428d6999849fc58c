import {type SampleSource, type SentStatement} from '@dogwoodthread/platform/standin';
import {type SeededRandom} from '../workload/index.js';

export type FuzzOptions = {
	seed: number;
	/** Time in which players start, in ms. */
	durationMs: number;
	/** Names of the players; all of them if empty. */
	only: readonly string[];
	log: (message: string, fields?: Record<string, unknown>) => void;
};

export type FindingKind = 'process-ended' | 'altered' | 'malformed' | 'other-answer' | 'refused-valid' | 'accepted-invalid' | 'unanswered' | 'unexpected-error' | 'memory';

/** `atMs` counts from when the hosts were ready. */
export type Finding = {kind: FindingKind; player: string; atMs: number; detail: string};

export type FuzzReport = {
	seed: number;
	seconds: number;
	rounds: Record<string, number>;
	statements: number;
	served: number;
	/** Statements that an instance ran for players whose effect is not compared. */
	unmodelledRuns: number;
	peakMemoryMebibytes: number;
	findings: Finding[];
	findingCounts: Record<string, number>;
	/** Time of the first finding of each kind, in seconds. */
	firstFoundSeconds: Record<string, number>;
	ok: boolean;
};

export type FuzzPorts = {clients: number; peers: number};

/** What a player may use of the system under test. */
export type FuzzTarget = {
	random: SeededRandom;
	ports: FuzzPorts;
	database: string;
	/** Time from which players start nothing more. */
	isOver: () => boolean;
	/** Takes over what a client sent, for the comparison with what the instances ran. */
	recordSent: (sent: ReadonlyMap<string, SentStatement>) => void;
	report: (kind: FindingKind, detail: string) => void;
	/** Runs with the answers of the store or of the instances replaced. */
	withStoreAnswers: (replace: (answer: unknown) => unknown, run: () => Promise<void>) => Promise<void>;
	withInstanceAnswers: (replace: (answer: string) => string, run: () => Promise<void>) => Promise<void>;
	invalidTexts: SampleSource<string>;
	/** A number that no other player of the run gets. */
	nextNumber: () => number;
};

/** One way to use or attack a host. */
export type FuzzPlayer = {
	readonly name: string;
	play(target: FuzzTarget): Promise<void>;
};
