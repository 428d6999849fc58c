/** Client of the platform's object service. */
export {HttpPlatform, type HttpPlatformOptions} from './infra/http-platform.js';
