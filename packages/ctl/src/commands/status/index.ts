/** `dogwoodctl status`. */
export type {ProxyStatus, StatusError, StatusReader} from './definitions.js';
export {statusCommand} from './core/status-command.js';
export {HttpStatusReader} from './infra/http-status-reader.js';
