/** Open-loop load from sessions that use another proxy for each request. */
export type {
	CallAnswer, CallerClient, CallRequest, LatencySummary, ProxyDirectory, SessionStep, StepPlan, StepRecord, WorkloadStats,
} from './definitions.js';
export {LatencyRecorder} from './domain/latency-recorder.js';
export {SeededRandom} from './domain/seeded-random.js';
export {HoldPlan} from './domain/hold-plan.js';
export {SessionPlan} from './domain/session-plan.js';
export {RoamingSession, type RoamingSessionOptions} from './core/roaming-session.js';
export {Workload, type WorkloadOptions} from './core/workload.js';
export {ConnectCallerClient} from './infra/connect-caller-client.js';
