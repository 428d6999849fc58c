/** Load tool: deployments of real processes, roaming sessions, a recorded history and its checks. */
export * from './checker/index.js';
export * from './deployment/index.js';
export * from './history/index.js';
export * from './process/index.js';
export * from './scenario/index.js';
export * from './workload/index.js';
