import {
	encodeObjectName, type ObjectKind, type Platform, type PlatformError, type PlatformErrorKind, type PlatformHost, type PlatformObject,
	type WatchBatch,
} from '@dogwoodthread/coordination';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {type Logger} from 'pino';
import {type z} from 'zod';
import {
	hostSchema, hostsResponseSchema, listResponseSchema, objectResponseSchema, putResponseSchema, removeResponseSchema, watchResponseSchema,
} from '../domain/response-schemas.js';

export type HttpPlatformOptions = {
	/** For example `http://127.0.0.1:7000`. */
	baseUrl: string;
	/** Time-out of a call, in ms; a watch gets its waiting time in addition. */
	timeoutMs: number;
	logger?: Logger;
};

type PlatformCall<T> = {
	method: 'GET' | 'PUT' | 'DELETE';
	path: string;
	schema: z.ZodType<T>;
	/** Version that the object must have for the call to take effect; 0 if it must not exist. */
	expectedVersion?: number;
	value?: unknown;
	timeoutMs?: number;
};

const errorKindByStatus: Partial<Record<number, PlatformErrorKind>> = {404: 'not-found', 412: 'conflict', 413: 'too-large'};

/** HTTP statuses with which the platform refuses a call before it has any effect. */
const statusesWithoutEffect: ReadonlySet<number> = new Set([400, 428, 429, 503]);

const remedyByKind: Record<PlatformErrorKind, string> = {
	conflict: 'Read the object again and retry the change on its current version.',
	'not-found': 'Create the object first, or check the name.',
	'too-large': 'Split or shorten the value.',
	unavailable: 'Retry later; after a write whose outcome is unknown, read the object first.',
};

const preconditions = (expectedVersion: number | undefined): Record<string, string> => {
	if (expectedVersion === undefined) {
		return {};
	}

	return expectedVersion === 0 ? {'if-none-match': '*'} : {'if-match': `"${expectedVersion}"`};
};

/** A refused connection is the only transport error after which a write cannot have taken effect. */
const isConnectionRefused = (error: unknown): boolean =>
	error instanceof Error && (error.cause as {code?: unknown} | undefined)?.code === 'ECONNREFUSED';

const formatError = (error: unknown): string => {
	if (!(error instanceof Error)) {
		return String(error);
	}

	return error.cause instanceof Error ? `${error.message}: ${error.cause.message}` : error.message;
};

/** A response may have any number of mistakes, so one stands for all. */
const describeFirstMistake = ({issues: [first]}: z.ZodError): string => first ? `${first.path.join('.')}: ${first.message}` : '';

/** Client of the platform's object service over HTTP with JSON. */
export class HttpPlatform implements Platform {
	readonly #options: HttpPlatformOptions;

	constructor(options: HttpPlatformOptions) {
		this.#options = {...options, baseUrl: options.baseUrl.replace(/\/+$/, '')};
	}

	get(kind: ObjectKind, name: string): ResultAsync<PlatformObject, PlatformError> {
		return this.#callObject(kind, name, {method: 'GET', schema: objectResponseSchema})
			.map(({version, value}) => ({
				kind, name, version, value,
			}));
	}

	list(kind: ObjectKind): ResultAsync<{objects: PlatformObject[]; revision: number}, PlatformError> {
		return this.#call({method: 'GET', path: `/v1/objects/${kind}`, schema: listResponseSchema})
			.map(({objects, revision}) => ({objects: this.#decodeItems(kind, objectResponseSchema, objects).map(object => ({...object, kind})), revision}));
	}

	put(kind: ObjectKind, name: string, value: unknown, expectedVersion: number): ResultAsync<number, PlatformError> {
		return this.#callObject(kind, name, {
			method: 'PUT', schema: putResponseSchema, value, expectedVersion,
		}).map(({version}) => version);
	}

	remove(kind: ObjectKind, name: string, expectedVersion: number): ResultAsync<void, PlatformError> {
		return this.#callObject(kind, name, {method: 'DELETE', schema: removeResponseSchema, expectedVersion}).map(() => undefined);
	}

	watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError> {
		const query = new URLSearchParams({after: String(revision), waitMs: String(waitMs)});
		return this.#call({
			method: 'GET',
			path: `/v1/watch/${kind}?${query.toString()}`,
			schema: watchResponseSchema,
			timeoutMs: waitMs + this.#options.timeoutMs,
		});
	}

	hosts(): ResultAsync<PlatformHost[], PlatformError> {
		return this.#call({method: 'GET', path: '/v1/hosts', schema: hostsResponseSchema})
			.map(({hosts}) => this.#decodeItems('hosts', hostSchema, hosts));
	}

	/** The items that can be decoded. The others are skipped and logged with one line. */
	#decodeItems<T>(list: string, schema: z.ZodType<T>, items: readonly unknown[]): T[] {
		const decoded = items.map(item => schema.safeParse(item));
		const errors = decoded.flatMap(({error}) => error ?? []);
		if (errors.length > 0) {
			this.#options.logger?.warn({list, rejectedCount: errors.length, reason: describeFirstMistake(errors[0]!)}, 'platform objects rejected');
		}

		return decoded.flatMap(({success, data}) => success ? [data] : []);
	}

	#callObject<T>(kind: ObjectKind, name: string, call: Omit<PlatformCall<T>, 'path'>): ResultAsync<T, PlatformError> {
		return encodeObjectName(name).asyncAndThen(encoded => this.#call({...call, path: `/v1/objects/${kind}/${encoded}`}));
	}

	#call<T>(call: PlatformCall<T>): ResultAsync<T, PlatformError> {
		return new ResultAsync(this.#perform(call));
	}

	async #perform<T>(call: PlatformCall<T>): Promise<Result<T, PlatformError>> {
		const isWrite = call.method !== 'GET';
		try {
			const response = await this.#fetch(call);
			const body: unknown = await response.json();
			if (!response.ok) {
				const outcomeKnown = !isWrite || response.status in errorKindByStatus || statusesWithoutEffect.has(response.status);
				return this.#createFailure(call, {kind: errorKindByStatus[response.status] ?? 'unavailable', outcomeKnown}, `status ${response.status}`);
			}

			const parsed = call.schema.safeParse(body);
			return parsed.success
				? ok(parsed.data)
				: this.#createFailure(call, {kind: 'unavailable', outcomeKnown: !isWrite}, `unexpected response: ${describeFirstMistake(parsed.error)}`);
		} catch (error) {
			const outcomeKnown = !isWrite || isConnectionRefused(error);
			return this.#createFailure(call, {kind: 'unavailable', outcomeKnown, cause: error}, formatError(error));
		}
	}

	async #fetch<T>({method, path, expectedVersion, value, timeoutMs}: PlatformCall<T>): Promise<Response> {
		const hasBody = method === 'PUT';
		return fetch(this.#options.baseUrl + path, {
			method,
			headers: {...preconditions(expectedVersion), ...(hasBody && {'content-type': 'application/json'})},
			...(hasBody && {body: JSON.stringify(value)}),
			signal: AbortSignal.timeout(timeoutMs ?? this.#options.timeoutMs),
		});
	}

	#createFailure(call: PlatformCall<unknown>, error: Omit<PlatformError, 'message'>, reason: string): Result<never, PlatformError> {
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
