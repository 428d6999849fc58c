/** The service that callers use: checks requests and routes them to the acting owner of their database. */
export {CallerServiceHandler, type RequestObserver} from './core/caller-service.js';
export {RequestRouter} from './core/request-router.js';
