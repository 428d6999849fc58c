/** Stand-in of the platform: objects, watches and hosts over HTTP/JSON, with faults for tests. */
export type {
	CallRates, PlatformFaults, PlatformOptions, RunningPlatform,
} from './definitions.js';
export {startPlatform} from './infra/platform-server.js';
export {type PlatformSettings, readPlatformSettings} from './infra/settings.js';
