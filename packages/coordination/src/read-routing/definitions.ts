import {type RandomSource} from '../random/index.js';
import {type TimerService} from '../timer/index.js';

/** A replica as the owner knows it when a read arrives. */
export type ReplicaCandidate = {
	memberId: string;
	failureDomain: string;
	/** Whether it may serve this read: log verified, applied position at or past the session's. */
	eligible: boolean;
	/** Its data is at most this old, in ms. */
	ageBoundMs: number;
	/** Reads in flight at the replica, as last known. */
	inFlight: number;
	/** Estimated time of a read there, in ms. */
	latencyMs: number;
};

export type ReplicaChoice = {
	memberId: string;
	/** Whether the replica is in the chooser's failure domain. */
	near: boolean;
};

export type ReplicaSelectorOptions = {
	timers: TimerService;
	random: RandomSource;
	/** Failure domain of the chooser. */
	failureDomain: string;
	/** Near replicas share reads with far ones while their cost is over this multiple of the far ones'; default 2. */
	leaveNearRatio?: number;
	/** Reads return to near replicas under this multiple; default 1.3. */
	returnNearRatio?: number;
	/** Time in ms over which reads move between near and far, and over which a recovered replica gets its full share; default 2000. */
	rampMs?: number;
};
