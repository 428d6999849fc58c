/** The platform's object service: port, and an implementation in memory. */
export type {
	HostState, ObjectKind, Platform, PlatformChange, PlatformError, PlatformErrorKind, PlatformHost, PlatformObject, WatchBatch,
} from './definitions.js';
export {MemoryPlatform, maxValueBytes} from './infra/memory-platform.js';
