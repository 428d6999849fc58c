import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {test} from 'tap';
import {LogRing, ProcessSupervisor} from '../../src/index.js';

const scriptPath = fileURLToPath(new URL('../fixtures/echo-program.js', import.meta.url));

const spec = (name: string, args: string[] = []) => ({
	name, scriptPath, args, readyTimeoutMs: 10_000,
});

// Guards against a lost ready line, a wrong exit code and processes that outlive the run.
test('processes are started, paused, ended and waited for', async t => {
	const supervisor = new ProcessSupervisor();
	const [first, second] = await Promise.all([supervisor.start(spec('first')), supervisor.start(spec('second'))]);
	t.equal(first.ready.address, '127.0.0.1:1');
	t.same(await first.terminate(10_000), {code: 7, signal: undefined});
	t.same(supervisor.crashedProcesses(), []);
	t.notOk(first.isRunning);
	second.pause();
	t.same(await second.terminate(50), {code: undefined, signal: 'SIGKILL'}, 'a paused process is killed after the time');
	const third = await supervisor.start(spec('third'));
	await supervisor.stopAll();
	t.same(await third.exited, {code: undefined, signal: 'SIGKILL'});
	t.same(supervisor.crashedProcesses(), []);
});

// Guards against waiting in vain for a program that cannot start, and against losing its log.
test('a program that ends before it is ready is an error with its log', async t => {
	const supervisor = new ProcessSupervisor();
	await t.rejects(supervisor.start(spec('broken', ['fail'])), /broken ended before it was ready \(code 3.*starting/v);
	t.same(supervisor.crashedProcesses(), ['broken']);
	const folder = await supervisor.dumpLogs();
	const files = await readdir(folder);
	t.same(files, ['00-broken.log']);
	t.equal(await readFile(path.join(folder, '00-broken.log'), 'utf8'), 'starting\n');
	await supervisor.stopAll();
});

// Guards against unbounded growth and lines that are cut where two chunks meet.
test('the log ring keeps the last lines whole', t => {
	const ring = new LogRing(2);
	for (const chunk of ['a\nb', 'b\nc\nd\ne\nf', 'f']) {
		ring.push(chunk);
	}

	t.same(ring.lines(), ['e', 'ff']);
	t.end();
});
