import {execFile, spawn} from 'node:child_process';
import {once} from 'node:events';
import {writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {test, type Test} from 'tap';

const program = fileURLToPath(new URL('../../dist/bin/dogwood-endpoint.js', import.meta.url));

const argumentsFor = (t: Test, settings: string) => {
	const file = `${t.testdir()}/settings.yaml`;
	writeFileSync(file, settings);
	return [program, '--settings', file];
};

// Guards against a start with settings that are only partly understood.
test('all mistakes of the settings are reported at once', async t => {
	const settings = 'database: ledger\nmemberId: m0\nslots: 0\nkeyMaxAgeHours: no\nslotz: 1\n';
	const running = promisify(execFile)(process.execPath, argumentsFor(t, settings));
	await t.rejects(running, {code: 2, stderr: /slotz.*failureDomain.*slots.*keyMaxAgeHours/s});
});

// Guards against tests and operators that wait for a fixed time, and against an exit that looks like a failure.
test('the program says when it listens and stops on SIGTERM', async t => {
	const child = spawn(process.execPath, argumentsFor(t, 'database: ledger\nmemberId: m0\nfailureDomain: fd0\n'));
	const [line] = await once(child.stdout, 'data') as [Uint8Array];
	const {event, controlAddress} = JSON.parse(String(line)) as Record<string, string>;
	t.equal(event, 'ready');
	const {status} = await fetch(`http://${controlAddress}/healthz`);
	t.equal(status, 200);
	child.kill('SIGTERM');
	t.strictSame(await once(child, 'close'), [0, null]);
});
