/** Deployments of real processes on loopback. */
export type {
	AdmissionPolicy, DeploymentPlan, EndpointFaults, EndpointHandle, PlatformFaults, ProxyHandle,
} from './definitions.js';
export {deploymentPlans, type DeploymentName} from './domain/plans.js';
export {Deployment} from './core/deployment.js';
export {readTruth, waitUntilCaughtUp} from './core/read-truth.js';
export {setEndpointFaults} from './infra/endpoint-control.js';
