/** Access to the platform's object service over HTTP. */
export {HttpPlatform, type HttpPlatformOptions} from './infra/http-platform.js';
