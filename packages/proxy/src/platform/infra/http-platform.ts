import {
	type ObjectKind, type Platform, type PlatformError, type PlatformErrorKind, type PlatformHost, type PlatformObject,
	type WatchBatch,
} from '@dogwoodthread/coordination';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {type Logger} from 'pino';
import {type z} from 'zod';
import {
	hostsAnswer, listAnswer, objectAnswer, putAnswer, removeAnswer, watchAnswer,
} from '../domain/answers.js';

export type HttpPlatformOptions = {
	/** For example `http://127.0.0.1:7000`. */
	baseUrl: string;
	/** Time after which a call counts as unanswered, in ms; a watch gets its waiting time on top. */
	timeoutMs: number;
	logger?: Logger;
};

type Call<T> = {
	method: 'GET' | 'PUT' | 'DELETE';
	path: string;
	schema: z.ZodType<T>;
	/** Version that the object must have; 0 if it must not exist. */
	expectedVersion?: number;
	value?: unknown;
	timeoutMs?: number;
};

const kindByStatus: Partial<Record<number, PlatformErrorKind>> = {404: 'not-found', 412: 'conflict', 413: 'too-large'};

/** Statuses that say that the call was refused before it had an effect. */
const refusedBeforeEffect: ReadonlySet<number> = new Set([400, 428, 429, 503]);

const remedyByKind: Record<PlatformErrorKind, string> = {
	conflict: 'Read the object again and repeat the change on its current version.',
	'not-found': 'Create the object first, or check the name.',
	'too-large': 'Split or shorten the value.',
	unavailable: 'Repeat later; after a write whose outcome is open, read the object back first.',
};

const preconditions = (expectedVersion: number | undefined): Record<string, string> => {
	if (expectedVersion === undefined) {
		return {};
	}

	return expectedVersion === 0 ? {'if-none-match': '*'} : {'if-match': `"${expectedVersion}"`};
};

const objectPath = (kind: ObjectKind, name: string): string => `/v1/objects/${kind}/${encodeURIComponent(name)}`;

/** A refused connection is the one transport error that rules out an effect. */
const isConnectionRefused = (error: unknown): boolean =>
	error instanceof Error && (error.cause as {code?: unknown} | undefined)?.code === 'ECONNREFUSED';

const textOf = (error: unknown): string => {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.cause instanceof Error ? `${error.message}: ${error.cause.message}` : error.message;
};

/** The platform's object service over HTTP/JSON. */
export class HttpPlatform implements Platform {
	readonly #options: HttpPlatformOptions;

	constructor(options: HttpPlatformOptions) {
		this.#options = {...options, baseUrl: options.baseUrl.replace(/\/+$/, '')};
	}

	get(kind: ObjectKind, name: string): ResultAsync<PlatformObject, PlatformError> {
		return this.#call({method: 'GET', path: objectPath(kind, name), schema: objectAnswer})
			.map(({version, value}) => ({
				kind, name, version, value,
			}));
	}

	list(kind: ObjectKind): ResultAsync<{objects: PlatformObject[]; revision: number}, PlatformError> {
		return this.#call({method: 'GET', path: `/v1/objects/${kind}`, schema: listAnswer})
			.map(({objects, revision}) => ({objects: objects.map(object => ({...object, kind})), revision}));
	}

	put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number): ResultAsync<number, PlatformError> {
		return this.#call({
			method: 'PUT', path: objectPath(kind, name), schema: putAnswer, value, expectedVersion,
		}).map(({version}) => version);
	}

	remove(kind: ObjectKind, name: string, expectedVersion: number): ResultAsync<void, PlatformError> {
		return this.#call({
			method: 'DELETE', path: objectPath(kind, name), schema: removeAnswer, expectedVersion,
		}).map(() => undefined);
	}

	watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError> {
		const query = new URLSearchParams({after: String(revision), waitMs: String(waitMs)});
		return this.#call({
			method: 'GET',
			path: `/v1/watch/${kind}?${query.toString()}`,
			schema: watchAnswer,
			timeoutMs: waitMs + this.#options.timeoutMs,
		});
	}

	hosts(): ResultAsync<PlatformHost[], PlatformError> {
		return this.#call({method: 'GET', path: '/v1/hosts', schema: hostsAnswer}).map(({hosts}) => hosts);
	}

	#call<T>(call: Call<T>): ResultAsync<T, PlatformError> {
		return new ResultAsync(this.#perform(call));
	}

	async #perform<T>(call: Call<T>): Promise<Result<T, PlatformError>> {
		const isWrite = call.method !== 'GET';
		try {
			const response = await this.#fetch(call);
			const body: unknown = await response.json();
			if (!response.ok) {
				const outcomeKnown = !isWrite || response.status in kindByStatus || refusedBeforeEffect.has(response.status);
				return this.#failure(call, {kind: kindByStatus[response.status] ?? 'unavailable', outcomeKnown}, `status ${response.status}`);
			}

			const parsed = call.schema.safeParse(body);
			return parsed.success
				? ok(parsed.data)
				: this.#failure(call, {kind: 'unavailable', outcomeKnown: !isWrite}, `unexpected answer: ${parsed.error.message}`);
		} catch (error) {
			const outcomeKnown = !isWrite || isConnectionRefused(error);
			return this.#failure(call, {kind: 'unavailable', outcomeKnown, cause: error}, textOf(error));
		}
	}

	async #fetch<T>({method, path, expectedVersion, value, timeoutMs}: Call<T>): Promise<Response> {
		const hasBody = method === 'PUT';
		return fetch(this.#options.baseUrl + path, {
			method,
			headers: {...preconditions(expectedVersion), ...(hasBody && {'content-type': 'application/json'})},
			...(hasBody && {body: JSON.stringify(value)}),
			signal: AbortSignal.timeout(timeoutMs ?? this.#options.timeoutMs),
		});
	}

	#failure(call: Call<unknown>, error: Omit<PlatformError, 'message'>, reason: string): Result<never, PlatformError> {
		const {kind, outcomeKnown} = error;
		const message = `${call.method} ${call.path}: ${reason}. ${remedyByKind[kind]}`;
		if (kind === 'unavailable') {
			this.#options.logger?.warn({
				method: call.method, path: call.path, reason, outcomeKnown,
			}, 'platform call failed');
		}

		return err({...error, message});
	}
}
