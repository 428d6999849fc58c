import {Buffer} from 'node:buffer';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {
	type ObjectKind, type Platform, type PlatformError, type PlatformErrorKind, type PlatformHost, type PlatformObject,
	type WatchBatch,
} from '../definitions.js';
import {encodeObjectName} from '../domain/object-name.js';

/** Largest serialised value that the platform accepts. */
export const maxValueBytes = 1024 * 1024;

type StoredObject = {version: number; revision: number; value: string | undefined};
type PendingWatch = {kind: ObjectKind; notify: () => void};

const platformError = (kind: PlatformErrorKind, message: string): PlatformError => ({kind, message, outcomeKnown: true});

/** In-memory object service with the platform's semantics, for tests and for embedding without a platform. */
export class MemoryPlatform implements Platform {
	/** List of hosts that `hosts` returns; callers set it directly. */
	hostList: PlatformHost[] = [];
	readonly #objects = new Map<ObjectKind, Map<string, StoredObject>>();
	readonly #pendingWatches = new Set<PendingWatch>();
	#revision = 0;

	get(kind: ObjectKind, name: string): ResultAsync<PlatformObject, PlatformError> {
		return encodeObjectName(name).asyncAndThen(() => {
			const stored = this.#objects.get(kind)?.get(name);
			return stored?.value === undefined
				? errAsync(platformError('not-found', `No object ${kind}/${name}; create it first.`))
				: okAsync({
					kind, name, version: stored.version, value: JSON.parse(stored.value) as unknown,
				});
		});
	}

	list(kind: ObjectKind): ResultAsync<{objects: PlatformObject[]; revision: number}, PlatformError> {
		const objects = [...this.#objects.get(kind) ?? []].flatMap(([name, {version, value}]) => value === undefined
			? []
			: [{
				kind, name, version, value: JSON.parse(value) as unknown,
			}]);
		return okAsync({objects, revision: this.#revision});
	}

	put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number): ResultAsync<number, PlatformError> {
		const text = JSON.stringify(value);
		if (Buffer.byteLength(text) > maxValueBytes) {
			return errAsync(platformError('too-large', `Object ${kind}/${name} is over ${maxValueBytes} bytes; split or shorten it.`));
		}

		return encodeObjectName(name).asyncAndThen(() => this.#write(kind, name, text, expectedVersion));
	}

	remove(kind: ObjectKind, name: string, expectedVersion: number): ResultAsync<void, PlatformError> {
		return encodeObjectName(name).asyncAndThen(() => this.#write(kind, name, undefined, expectedVersion)).map(() => undefined);
	}

	watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError> {
		return ResultAsync.fromSafePromise(this.#waitForChanges(kind, revision, waitMs));
	}

	hosts(): ResultAsync<PlatformHost[], PlatformError> {
		return okAsync([...this.hostList]);
	}

	/** Ends pending watches early with an empty batch. */
	interruptWatches(): void {
		for (const watch of this.#pendingWatches) {
			watch.notify();
		}
	}

	#write(kind: ObjectKind, name: string, value: string | undefined, expectedVersion: number): ResultAsync<number, PlatformError> {
		const byName = this.#objects.get(kind) ?? new Map<string, StoredObject>();
		const stored = byName.get(name);
		const currentVersion = stored?.value === undefined ? 0 : stored.version;
		if (currentVersion !== expectedVersion) {
			return errAsync(platformError('conflict', `Object ${kind}/${name} has version ${currentVersion}, not ${expectedVersion}; read it again.`));
		}

		this.#revision += 1;
		// The version keeps increasing when an object is removed and created again.
		const version = (stored?.version ?? 0) + 1;
		byName.set(name, {version, revision: this.#revision, value});
		this.#objects.set(kind, byName);
		for (const watch of this.#pendingWatches) {
			if (watch.kind === kind) {
				watch.notify();
			}
		}

		return okAsync(version);
	}

	#changesAfter(kind: ObjectKind, revision: number): WatchBatch {
		const changes = [...this.#objects.get(kind) ?? []]
			.filter(([, stored]) => stored.revision > revision)
			.sort(([, a], [, b]) => a.revision - b.revision)
			.map(([name, {version, value}]) => value === undefined
				? {name, version}
				: {name, version, value: JSON.parse(value) as unknown});
		return {changes, revision: this.#revision};
	}

	async #waitForChanges(kind: ObjectKind, revision: number, waitMs: number): Promise<WatchBatch> {
		const batch = this.#changesAfter(kind, revision);
		if (batch.changes.length > 0 || waitMs <= 0) {
			return batch;
		}

		await new Promise<void>(resolve => {
			const watch: PendingWatch = {
				kind,
				notify: () => {
					clearTimeout(timer);
					this.#pendingWatches.delete(watch);
					resolve();
				},
			};
			const timer = setTimeout(watch.notify, waitMs);
			this.#pendingWatches.add(watch);
		});
		return this.#changesAfter(kind, revision);
	}
}
