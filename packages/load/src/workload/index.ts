/** Sessions that roam between proxies, at an open-loop rate. */
export type {
	CallAnswer, CallerClient, CallRequest, ProxyDirectory, SessionStep, WorkloadStats,
} from './definitions.js';
export {LatencyRecorder} from './domain/latency-recorder.js';
export {SeededRandom} from './domain/seeded-random.js';
export {SessionPlan} from './domain/session-plan.js';
export {RoamingSession} from './core/roaming-session.js';
export {Workload} from './core/workload.js';
export {ConnectCallerClient} from './infra/connect-caller-client.js';
