/** Settings of the proxy: schema, defaults and loading. */
export {proxySettingsSchema, type ProxySettings, type SettingsError} from './definitions.js';
export {loadSettings} from './load-settings.js';
export {renderSettingsReference} from './reference.js';
