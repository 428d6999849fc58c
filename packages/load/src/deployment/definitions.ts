import {type ManagedProcess} from '../process/index.js';

export type AdmissionPolicy = 'fair' | 'fifo';

/** Size and shape of a deployment to start. */
export type DeploymentPlan = {
	databases: string[];
	instancesPerDatabase: number;
	proxies: number;
	/** Statements that an instance runs at a time. */
	slots: number;
	/** Connections that an instance accepts. */
	maxConnections: number;
	openDelayMs: number;
	/** Service time of each statement in ms. */
	serviceMs: Record<string, number>;
	replicationDelayMs: number;
	applyLagMs: number;
	policy: AdmissionPolicy;
};

/** Faults of the platform's stand-in. */
export type PlatformFaults = {
	down?: boolean;
	delayMs?: number;
	/** Number of writes that take effect without an answer. */
	loseAnswers?: number;
	stallWatches?: boolean;
	hostsFrozen?: boolean;
};

/** Faults of an endpoint's stand-in. */
export type EndpointFaults = {
	frozen?: boolean;
	cutFromGroup?: boolean;
	refuseConnections?: boolean;
	answerDelayMs?: number;
	crossAnswers?: boolean;
	dropMidRows?: boolean;
	/** Connections that stop answering for good, oldest first. */
	silentConnections?: 'all' | number;
	leaving?: boolean;
	replicationDelayMs?: number;
	applyLagMs?: number;
};

export type EndpointHandle = {
	database: string;
	memberId: string;
	failureDomain: string;
	/** `host:port` for each of the three servers. */
	endpointAddress: string;
	replicationAddress: string;
	controlAddress: string;
	process: ManagedProcess;
};

export type ProxyHandle = {
	hostId: string;
	failureDomain: string;
	callerAddress: string;
	gossipAddress: string;
	adminAddress: string;
	process: ManagedProcess;
};
