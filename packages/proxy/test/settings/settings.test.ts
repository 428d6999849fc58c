import {execFile} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {test} from 'tap';

const program = fileURLToPath(new URL('../../dist/bin/dogwood-proxy.js', import.meta.url));
const page = new URL('../../../../docs/settings-reference.md', import.meta.url);

const run = async (...args: string[]) => new Promise<{code: number; stdout: string; stderr: string}>(resolve => {
	execFile(process.execPath, [program, ...args], {timeout: 30_000}, (error, stdout, stderr) => {
		resolve({code: error === null ? 0 : Number(error.code), stdout, stderr});
	});
});

// Guards against a reference page that differs from the settings that the program accepts.
test('the settings reference page is up to date', async t => {
	const {code, stdout} = await run('--settings-reference');
	t.equal(code, 0);
	t.equal(stdout, await readFile(page, 'utf8'), 'regenerate it with: dogwood-proxy --settings-reference > docs/settings-reference.md');
	t.notMatch(stdout, /undefined/, 'every field has a description, a form and bounds');
});

const mistakes = [
	{
		name: 'several fields at once, an unknown key and no token key',
		settings: 'hostId: ""\nfailureDomian: zone-1\nplatformUrl: platform\ndetectionMs: 5s\ndrainMs: 700000\npolicy: lifo\nseeds: [10.0.0.1]\n',
		paths: ['hostId', 'failureDomain', 'platformUrl', 'detectionMs', 'drainMs', 'policy', 'seeds.0', 'failureDomian', 'tokenKeys'],
	},
	{
		name: 'a short token key, which must not be printed',
		settings: 'hostId: a\nfailureDomain: b\nplatformUrl: http://127.0.0.1:1\ntokenKeys: [swordfish]\n',
		paths: ['tokenKeys.0'],
	},
	{name: 'a list instead of a mapping', settings: '- hostId\n', paths: ['(root)']},
	{name: 'a duplicate token key, which must not be printed', settings: 'tokenKey: swordfish\ntokenKey: swordfish\n', paths: undefined},
];

// Guards against mistakes that are reported one at a time or without the path of the setting, or with which the proxy starts anyway.
test('mistakes in the settings', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'dogwood-settings-test-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	for (const [index, {name, settings, paths}] of mistakes.entries()) {
		const file = path.join(folder, `${index}.yaml`);
		await writeFile(file, settings);
		const {code, stdout, stderr} = await run('--settings', file);
		const reported = stderr.split('\n').filter(line => line.startsWith('  ')).map(line => line.trim().split(':')[0]);
		t.equal(code, 2, name);
		t.equal(stdout, '', name);
		t.notMatch(stderr, /swordfish/, name);
		t.matchSnapshot(stderr, name);
		if (paths) {
			t.same(new Set(reported), new Set(paths), name);
			t.equal(reported.length, paths.length, name);
		}
	}

	t.match(await run('--settings', path.join(folder, 'missing.yaml')), {code: 2, stderr: /cannot be read/});
	t.match(await run(), {code: 2, stderr: /--settings FILE/});
});
