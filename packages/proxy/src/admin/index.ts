/** Metrics, health and status over HTTP. */
export {createAdminServer} from './infra/admin-server.js';
export {ProxyMetrics} from './infra/proxy-metrics.js';
