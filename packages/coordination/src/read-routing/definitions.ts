import {type RandomSource} from '../random/index.js';
import {type TimerService} from '../timer/index.js';

/** State of a replica as known to the owner when a read arrives. */
export type ReplicaCandidate = {
	memberId: string;
	failureDomain: string;
	/** Whether it may serve this read: its log is verified and its applied position has reached the session's. */
	isEligible: boolean;
	/** Upper bound of the age of its data, in ms. */
	ageBoundMs: number;
	/** Number of reads in flight at the replica, as last reported. */
	inFlight: number;
	/** Estimated duration of a read at the replica, in ms. */
	latencyMs: number;
};

export type ReplicaChoice = {
	memberId: string;
	/** Whether the replica is in the failure domain of the selector. */
	isNear: boolean;
};

export type ReplicaSelectorOptions = {
	timers: TimerService;
	random: RandomSource;
	/** Failure domain of the selector. */
	failureDomain: string;
	/** Reads move to far replicas while the cost of near ones exceeds this multiple of that of far ones; default 2. */
	leaveNearRatio?: number;
	/** Reads return to near replicas when their cost is below this multiple; default 1.3. */
	returnNearRatio?: number;
	/** Time in ms over which reads move between near and far replicas, and a recovered replica ramps up to its full share; default 2000. */
	rampMs?: number;
};
