import {createServer} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {type PlatformFaults, type RunningPlatform, startPlatform} from '@dogwoodthread/standin';
import {test, type Test} from 'tap';
import {HttpPlatform} from '../../src/platform/index.js';
import {expectError, expectValue} from './results.js';

type FaultCase = {
	fault: string;
	faults: Partial<PlatformFaults>;
	timeoutMs?: number;
	/** Expected error of the put during the fault; undefined if it succeeds. */
	put: {kind: string; outcomeKnown: boolean} | undefined;
	/** Whether the put has taken effect once the fault has ended. */
	hasEffect: boolean;
	/** Expected error kind of a get during the fault; undefined if it succeeds. */
	get: string | undefined;
};

const outcomeUnknown = {kind: 'unavailable', outcomeKnown: false};

// Guards against a write that is reported as failed but took effect, and a write that is reported as done but had no effect.
const cases: FaultCase[] = [
	{
		fault: 'none', faults: {}, put: undefined, hasEffect: true, get: undefined,
	},
	{
		fault: 'answer lost after the effect', faults: {loseAnswers: 1}, put: outcomeUnknown, hasEffect: true, get: undefined,
	},
	{
		fault: 'connections cut before the effect', faults: {down: true}, put: outcomeUnknown, hasEffect: false, get: 'unavailable',
	},
	{
		fault: 'slower than the timeout', faults: {delayMs: 300}, timeoutMs: 50, put: outcomeUnknown, hasEffect: true, get: 'unavailable',
	},
	{
		fault: 'slow within the timeout', faults: {delayMs: 20}, put: undefined, hasEffect: true, get: undefined,
	},
	{
		fault: 'over the rate limit', faults: {ratePerSecond: {reads: 1, writes: 1}}, put: undefined, hasEffect: true, get: undefined,
	},
];

const startPlatformClient = async (t: Test, timeoutMs = 5000): Promise<{standin: RunningPlatform; platform: HttpPlatform}> => {
	const standin = await startPlatform();
	t.teardown(async () => standin.close());
	return {standin, platform: new HttpPlatform({baseUrl: standin.url, timeoutMs})};
};

for (const {
	fault, faults, timeoutMs, put, hasEffect, get,
} of cases) {
	test(`put and get during the fault: ${fault}`, async t => {
		const {standin, platform} = await startPlatformClient(t, timeoutMs);
		await platform.put('owners', 'other', 'x', 0);
		const {revision} = await expectValue(platform.list('owners'));
		standin.setFaults(faults);
		const written = await platform.put('owners', 'd', 1, 0);
		t.match(written.isErr() ? written.error : undefined, put);
		const read = await platform.get('owners', 'other');
		t.equal(read.isErr() ? read.error.kind : undefined, get);
		standin.setFaults({});
		const longTimeoutPlatform = new HttpPlatform({baseUrl: standin.url, timeoutMs: 5000});
		const batch = await expectValue(longTimeoutPlatform.watch('owners', revision, hasEffect ? 5000 : 0));
		t.equal(batch.changes.length, hasEffect ? 1 : 0);
	});
}

test('calls over the rate limit have no effect and are reported so', async t => {
	const {standin, platform} = await startPlatformClient(t);
	standin.setFaults({ratePerSecond: {reads: 100, writes: 1}});
	const results = await Promise.all(['a', 'b', 'c'].map(async name => platform.put('owners', name, 1, 0)));
	const refused = results.filter(result => result.isErr());
	t.ok(refused.length > 0);
	t.ok(refused.every(result => result.isErr() && result.error.kind === 'unavailable' && result.error.outcomeKnown));
	const {objects} = await expectValue(platform.list('owners'));
	t.equal(objects.length, results.length - refused.length);
});

// Guards against a watch that hangs on a connection without data, or that ends early without an error when the platform goes down.
test('a watch ends with unavailable when it is stalled or the platform goes down', async t => {
	const {standin, platform} = await startPlatformClient(t, 50);
	standin.setFaults({stallWatches: true});
	const stalled = await platform.watch('owners', 0, 10);
	t.equal(stalled._unsafeUnwrapErr().kind, 'unavailable');
	standin.setFaults({});
	const waiting = platform.watch('owners', 0, 30_000);
	while (standin.calls()['GET /v1/watch/{kind}'] !== 2) {
		await platform.hosts();
	}

	standin.setFaults({down: true});
	t.match(await expectError(waiting), {kind: 'unavailable'});
});

test('a frozen list of hosts stays as it was', async t => {
	const {standin, platform} = await startPlatformClient(t);
	standin.setFaults({hostsFrozen: true});
	standin.setHosts([{
		hostId: 'e', role: 'endpoint', address: '127.0.0.1:1', failureDomain: 'a', region: 'r', state: 'live',
	}]);
	t.same(await expectValue(platform.hosts()), []);
	standin.setFaults({});
	t.match(await expectValue(platform.hosts()), [{hostId: 'e'}]);
});

test('a refused connection is distinguished from a malformed response', async t => {
	const server = createServer((_request, response) => {
		response.end('{"unexpected":');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const platform = new HttpPlatform({baseUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}/`, timeoutMs: 5000});
	const malformed = await platform.put('owners', 'd', 1, 0);
	t.match(malformed._unsafeUnwrapErr(), {kind: 'unavailable', outcomeKnown: false});
	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
	const refused = await platform.put('owners', 'd', 1, 0);
	t.match(refused._unsafeUnwrapErr(), {kind: 'unavailable', outcomeKnown: true});
});
