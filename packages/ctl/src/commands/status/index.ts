/** `dogwoodctl status`. */
export type {ProxyStatus, StatusError, StatusReader} from './definitions.js';
export {createStatusCommand} from './core/status-command.js';
export {HttpStatusReader} from './infra/http-status-reader.js';
