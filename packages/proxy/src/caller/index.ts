/** What callers use. */
export {CallerServiceHandler, type RequestObserver} from './core/caller-service.js';
export {RequestRouter} from './core/request-router.js';
