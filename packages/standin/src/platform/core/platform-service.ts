import {
	MemoryPlatform, type ObjectKind, type PlatformError, type PlatformErrorKind, type PlatformHost, type TimerService,
} from '@dogwoodthread/coordination';
import {type PlatformFaults} from '../definitions.js';
import {noFaults} from '../domain/faults.js';
import {RateLimit} from '../domain/rate-limit.js';
import {
	type Route, testSideRoutes, writeRoutes,
} from '../domain/route.js';

export type Call = {route: Route; ifMatch: string | undefined; ifNoneMatch: string | undefined; body: unknown};

/** `cut` ends the connection without an answer, `silent` leaves it open without one. */
export type Answer =
	| {kind: 'answer'; status: number; etag?: string; retryAfterSeconds?: number; body: unknown}
	| {kind: 'cut'}
	| {kind: 'silent'};

/** Longest wait of a watch, in ms. */
const maxWaitMs = 60_000;

const statusByError: Record<PlatformErrorKind, number> = {
	conflict: 412, 'not-found': 404, unavailable: 503, 'too-large': 413,
};

const answer = (status: number, body: unknown, etag?: string): Answer => ({
	kind: 'answer', status, body, etag,
});
const refusal = (error: PlatformError): Answer => answer(statusByError[error.kind], {kind: error.kind, message: error.message});
const badRequest = (message: string): Answer => answer(400, {kind: 'bad-request', message});

/** Version that the call's preconditions name: 0 for creation, undefined if they name none. */
const expectedVersion = (call: Call): number | undefined => {
	if (call.ifNoneMatch === '*') {
		return 0;
	}

	const version = Number(/^"(?<version>\d+)"$/.exec(call.ifMatch ?? '')?.groups?.version ?? Number.NaN);
	return Number.isSafeInteger(version) ? version : undefined;
};

/** Objects, hosts, call counts and faults; independent of the transport. */
export class PlatformService {
	readonly calls = new Map<string, number>();
	readonly #memory = new MemoryPlatform();
	readonly #timers: TimerService;
	#faults = noFaults();
	#limits: {reads: RateLimit; writes: RateLimit} | undefined;
	#frozenHosts: PlatformHost[] = [];

	constructor(options: {timers: TimerService; hosts?: PlatformHost[]}) {
		this.#timers = options.timers;
		this.#memory.hostList = options.hosts ?? [];
	}

	get faults(): PlatformFaults {
		return {...this.#faults};
	}

	setFaults(faults: PlatformFaults): void {
		if (faults.hostsFrozen && !this.#faults.hostsFrozen) {
			this.#frozenHosts = this.#memory.hostList;
		}

		this.#faults = faults;
		const nowMs = this.#timers.nowMs();
		this.#limits = faults.ratePerSecond && {
			reads: new RateLimit(faults.ratePerSecond.reads, nowMs),
			writes: new RateLimit(faults.ratePerSecond.writes, nowMs),
		};
		if (faults.down) {
			this.#memory.interruptWatches();
		}
	}

	setHosts(hosts: PlatformHost[]): void {
		this.#memory.hostList = hosts;
	}

	/** Ends waiting watches. */
	close(): void {
		this.#memory.interruptWatches();
	}

	/** Serves one call of the platform's clients, under the faults in force. */
	async handle(call: Call): Promise<Answer> {
		const {name} = call.route;
		if (testSideRoutes.has(name)) {
			throw new TypeError(`Route ${name} belongs to the test side.`);
		}

		this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
		const isWrite = writeRoutes.has(name);
		if (this.#faults.delayMs > 0 && !this.#faults.down) {
			await this.#timers.sleep(this.#faults.delayMs);
		}

		if (this.#faults.down) {
			return {kind: 'cut'};
		}

		const limit = isWrite ? this.#limits?.writes : this.#limits?.reads;
		if (limit && !limit.take(this.#timers.nowMs())) {
			return {
				kind: 'answer', status: 429, retryAfterSeconds: 1, body: {kind: 'unavailable', message: 'Over the call rate; repeat after 1 s.'},
			};
		}

		const given = await this.#serve(call);
		return isWrite && given.kind === 'answer' && given.status === 200 && this.#loseAnswer() ? {kind: 'cut'} : given;
	}

	#loseAnswer(): boolean {
		if (this.#faults.loseAnswers === 0) {
			return false;
		}

		this.#faults = {...this.#faults, loseAnswers: this.#faults.loseAnswers - 1};
		return true;
	}

	async #serve(call: Call): Promise<Answer> {
		const {name, kind, objectName} = call.route;
		const objectKind = kind as ObjectKind;
		switch (name) {
			case 'GET /v1/objects/{kind}/{name}': {
				const found = await this.#memory.get(objectKind, objectName);
				return found.match(object => answer(200, object, `"${object.version}"`), refusal);
			}

			case 'GET /v1/objects/{kind}': {
				const found = await this.#memory.list(objectKind);
				return found.match(list => answer(200, list), refusal);
			}

			case 'GET /v1/hosts': {
				return answer(200, {hosts: this.#faults.hostsFrozen ? this.#frozenHosts : this.#memory.hostList});
			}

			case 'GET /v1/watch/{kind}': {
				return this.#watch(call.route);
			}

			default: {
				return this.#write(call);
			}
		}
	}

	async #write(call: Call): Promise<Answer> {
		const {name, kind, objectName} = call.route;
		const version = expectedVersion(call);
		if (version === undefined) {
			return answer(428, {kind: 'bad-request', message: 'Send If-Match with the version in quotes, or If-None-Match: * to create.'});
		}

		if (name.startsWith('DELETE')) {
			const removed = await this.#memory.remove(kind as ObjectKind, objectName, version);
			return removed.match(() => answer(200, {}), refusal);
		}

		if (call.body === undefined) {
			return badRequest('The body is not JSON; send the value as JSON.');
		}

		const put = await this.#memory.put(kind as ObjectKind, objectName, call.body, version);
		return put.match(newVersion => answer(200, {version: newVersion}, `"${newVersion}"`), refusal);
	}

	async #watch(route: Route): Promise<Answer> {
		const after = Number(route.query.get('after') ?? 'missing');
		const waitMs = Math.min(Number(route.query.get('waitMs') ?? 0), maxWaitMs);
		if (!Number.isSafeInteger(after) || Number.isNaN(waitMs)) {
			return badRequest('Give after=REVISION and waitMs=N as numbers.');
		}

		const batch = await this.#memory.watch(route.kind as ObjectKind, after, waitMs);
		if (this.#faults.down) {
			return {kind: 'cut'};
		}

		return this.#faults.stallWatches ? {kind: 'silent'} : batch.match(changes => answer(200, changes), refusal);
	}
}
