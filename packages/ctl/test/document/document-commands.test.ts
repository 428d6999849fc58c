import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {DocumentInForce, SystemTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {runCtl, startFakeProxy, startTestPlatform} from '../run.js';

const changeArgs = ['--author', 'wanjiru', '--reason', 'more work'];

// Guards against changes of output and exit codes that break operators' scripts.
test('a section is shown, edited, compared, checked and applied', async t => {
	const {url} = await startTestPlatform(t);
	const file = path.join(t.testdir(), 'databases.yaml');
	const section = ['--section', 'databases', '--platform', url];
	const steps: string[][] = [
		['document', 'show', '--platform', url],
		['document', 'init', '--databases', 'ledger,tins', ...changeArgs, '--platform', url],
		['document', 'init', '--databases', 'other', ...changeArgs, '--platform', url],
		['document', 'edit', '--set', 'ledger/slots=6', ...changeArgs, ...section],
		['document', 'edit', '--set', 'ledger/slotz=6', ...changeArgs, ...section],
		['document', 'edit', '--set', 'ledger/slots=6', '--author', 'nobody', '--reason', 'x', ...section],
		['document', 'diff', file, ...section],
		['document', 'check', file, ...section],
		['document', 'apply', file, ...changeArgs, ...section, '--json'],
		['document', 'apply', file, ...changeArgs, ...section, '--base', '2', '--json'],
		['document', 'diff', '--from', '1', '--platform', url],
		['document', 'history', '--platform', url],
		['document', 'status', '--platform', url],
		['document', 'show', ...section],
		['audit', '--from', '2020-01-01', '--to', '2100-01-01', '--platform', url],
	];
	writeFileSync(file, '# section databases, version 2\nledger: {slots: 5, connections: 35}\n');
	const results = [];
	for (const step of steps) {
		const {code, output} = await runCtl(...step);
		results.push(`${step.slice(0, 2).join(' ')}: exit code ${code}`, output.trimEnd());
	}

	t.matchSnapshot(results.join('\n'));
	const whole = await runCtl('document', 'show', '--platform', url);
	writeFileSync(file, whole.output);
	t.same(await runCtl('document', 'check', file), {code: 0, output: 'valid\n'});
});

// Guards against an author or a reason that looks like another change in the history.
test('text of authors stays within the line of its change', async t => {
	const {url} = await startTestPlatform(t);
	const forged = '\n2  2026-01-01T00:00:00.000Z  all  wanjiru (operations): approved\u001B[1A';
	const metadata = ['--author', `a${forged}`, '--reason', `r${forged}.`, '--platform', url];
	t.equal((await runCtl('document', 'init', '--databases', 'ledger', ...metadata)).code, 0);
	for (const command of [['document', 'history'], ['audit', '--from', '2020-01-01', '--to', '2100-01-01']]) {
		const {output} = await runCtl(...command, '--platform', url);
		t.equal(output.split('\n').filter(line => line.includes('approved')).length, 1, command.join(' '));
		t.notMatch(output, '\u001B');
	}
});

// Guards against reporting a change as in force while a proxy still has an earlier version.
test('apply waits until all proxies have the version, or names those behind', async t => {
	const {url} = await startTestPlatform(t);
	const proxy = await startFakeProxy(t);
	const common = [...changeArgs, '--platform', url, '--proxy', proxy.address];
	proxy.versions = [1, 2, 1];
	t.same(await runCtl('document', 'init', '--databases', 'ledger', ...common), {code: 0, output: 'accepted as version 1 (CHANGE)\nin force on all 3 proxies\n'});
	const edit = ['document', 'edit', '--section', 'monitor', '--set', 'words/booking=lane', ...common];
	const behind = await runCtl(...edit, '--timeout-ms', '1');
	t.equal(behind.code, 1);
	t.match(behind.output, /^accepted as version 2 .*\n.*not in force yet on 2 of 3 proxies: p0 \(version 1, alive\), p2/);
	const status = ['document', 'status', '--platform', url, '--proxy', proxy.address];
	t.match(await runCtl(...status), {code: 1, output: /not in force on: p0/});
	proxy.versions = [2, 2];
	t.match(await runCtl(...status), {code: 0, output: /in force on all 2 proxies/});
	const unreachable = await runCtl('document', 'edit', '--section', 'monitor', '--set', 'words/booking=tin', ...changeArgs, '--platform', url, '--proxy', '127.0.0.1:1', '--timeout-ms', '1');
	t.match(unreachable, {code: 1, output: /^accepted as version 3 .*\nAccepted, but it is not known/});
});

test('a lost answer is repeated with the change id and accepted once', async t => {
	const platform = await startTestPlatform(t);
	const common = [...changeArgs, '--platform', platform.url];
	await runCtl('document', 'init', '--databases', 'ledger', ...common);
	platform.setFaults({loseAnswers: 1});
	const edit = ['document', 'edit', '--section', 'databases', '--set', 'ledger/slots=6', ...common, '--change-id', 'change-a'];
	t.match(await runCtl(...edit), {code: 0, output: /^accepted.* as version 2/});
	t.match(await runCtl(...edit), {code: 0, output: /^accepted before as version 2/});
	platform.setFaults({down: true});
	t.match(await runCtl(...edit, '--timeout-ms', '1'), {code: 1, output: /^platform-unavailable/});
});

test('a damaged document is reported and repaired from a proxy', async t => {
	const {url} = await startTestPlatform(t);
	const proxy = await startFakeProxy(t);
	await runCtl('document', 'init', '--databases', 'ledger', ...changeArgs, '--platform', url);
	const object = `${url}/v1/objects/document/governing`;
	const response = await fetch(object);
	const {version, value} = await response.json() as {version: number; value: unknown};
	const inForce = new DocumentInForce({timers: new SystemTimerService()});
	inForce.applyIfNewer({version, value});
	Object.assign(proxy, {versions: [1], contentVersion: 1, content: inForce.peerContentSince(0)});
	await fetch(object, {method: 'PUT', headers: {'if-match': '"1"'}, body: '{}'});
	t.match(await runCtl('document', 'show', '--platform', url), {code: 1, output: /^damaged-document/});
	t.match(await runCtl('document', 'repair', ...changeArgs, '--platform', url, '--proxy', proxy.address, '--timeout-ms', '1'), {code: 1, output: /^accepted as version 3/});
	t.match(await runCtl('document', 'show', '--platform', url), {code: 0, output: /version 3\n/});
});

test('wrong usage gives exit code 2', async t => {
	const file = path.join(t.testdir({'a.yaml': 'a: 1\n'}), 'a.yaml');
	const url = 'http://127.0.0.1:1';
	const invalidCalls = [
		['document'],
		['document', 'unknown'],
		['document', 'show'],
		['document', 'show', '--unknown'],
		['document', 'show', '--section', 'x'],
		['document', 'show', '--platform', '127.0.0.1:1'],
		['document', 'apply', file, '--section', 'monitor', '--platform', url],
		['document', 'edit', '--section', 'monitor', '--platform', url],
		['document', 'check', '/nonexistent'],
		['document', 'edit', '--section', 'monitor', '--set', 'a=1', ...changeArgs, '--platform', url, '--change-id', '12'],
		['document', 'diff', '--from', 'x', '--platform', url],
		['audit', '--from', 'yesterday', '--platform', url],
		['audit', '--from', '2026-01-02', '--to', '2026-01-01', '--platform', url],
		['document', 'status', '--platform', url, '--proxy', 'nowhere'],
	];
	const codes = await Promise.all(invalidCalls.map(async args => {
		const {code} = await runCtl(...args);
		return code;
	}));
	t.same(codes, invalidCalls.map(() => 2));
});

// Guards against a reference page whose fields differ from the schema.
test('docs/document-reference.md is current', async t => {
	const {output} = await runCtl('document', 'reference');
	t.equal(readFileSync(new URL('../../../../docs/document-reference.md', import.meta.url), 'utf8'), output);
});

// Guards against a process that does not exit with the code that the command returned.
test('the program ends with the exit code of its command', async t => {
	const program = fileURLToPath(new URL('../../dist/bin/dogwoodctl.js', import.meta.url));
	const codes = await Promise.all([['--help'], ['--version'], ['document', 'reference'], ['document', 'show'], ['document', 'show', '--platform', 'http://127.0.0.1:1']].map(async args => {
		const [code] = await once(spawn(process.execPath, [program, ...args], {stdio: 'ignore'}), 'exit') as [number];
		return code;
	}));
	t.same(codes, [0, 0, 0, 2, 1]);
});
