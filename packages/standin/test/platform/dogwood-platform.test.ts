import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {test} from 'tap';

const program = fileURLToPath(new URL('../../dist/bin/dogwood-platform.js', import.meta.url));

const start = (arguments_: string[]) => spawn(process.execPath, [program, ...arguments_], {stdio: ['ignore', 'pipe', 'ignore']});

// Guards against a stand-in that does not end on SIGTERM while a watch waits.
test('the program announces its address, serves, and stops on SIGTERM', async t => {
	const child = start(['--port', '0']);
	const [line] = await once(child.stdout, 'data') as [Uint8Array];
	const {event, address} = JSON.parse(String(line)) as {event: string; address: string};
	t.equal(event, 'ready');
	const put = await fetch(`http://${address}/v1/objects/owners/a`, {method: 'PUT', headers: {'if-none-match': '*'}, body: '1'});
	t.equal(put.headers.get('etag'), '"1"');
	const unconditional = await fetch(`http://${address}/v1/objects/owners/a`, {method: 'PUT', body: '2'});
	t.equal(unconditional.status, 428);
	const faults = await fetch(`http://${address}/v1/faults`, {method: 'PUT', body: '{"donw":true}'});
	t.equal(faults.status, 400);
	const watchEnds = t.rejects(fetch(`http://${address}/v1/watch/owners?after=1&waitMs=60000`));
	for (let waiting = 0; waiting === 0;) {
		const answer = await fetch(`http://${address}/v1/calls`);
		const {calls} = await answer.json() as {calls: Record<string, number>};
		waiting = calls['GET /v1/watch/{kind}'] ?? 0;
	}

	const exited = once(child, 'exit');
	child.kill('SIGTERM');
	t.same(await exited, [0, null]);
	await watchEnds;
});

test('wrong usage gives exit code 2, help and version 0', async t => {
	const results = await Promise.all([['--port', 'x'], ['--unknown'], ['--settings', '/nonexistent'], ['--help'], ['--version']].map(async arguments_ => {
		const child = start(arguments_);
		child.stdout.resume();
		const [code] = await once(child, 'exit') as [number];
		return code;
	}));
	t.same(results, [2, 2, 2, 0, 0]);
});
