/** The current history of the platform's store, which changes when the store is restored from a backup. */
export {StoreHistory, type StoreHistoryOptions} from './store-history.js';
export {splitStoreVersion, toStoreVersion, versionFields} from './store-version.js';
