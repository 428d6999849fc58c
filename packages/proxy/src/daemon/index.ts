/** The proxy process. */
export {ProxyDaemon, type ProxyAddresses} from './proxy-daemon.js';
