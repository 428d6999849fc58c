/** The platform's object service: interface and an in-memory implementation. */
export type {
	HostState, ObjectKind, Platform, PlatformChange, PlatformError, PlatformErrorKind, PlatformHost, PlatformObject, WatchBatch,
} from './definitions.js';
export {encodeObjectName} from './domain/object-name.js';
export {MemoryPlatform, maxValueBytes} from './infra/memory-platform.js';
