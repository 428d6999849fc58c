import {execFile} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {test} from 'tap';

const program = new URL('../../dist/bin/dogwood-proxy.js', import.meta.url).pathname;

const run = async (...args: string[]): Promise<{code: unknown; stderr: string}> => new Promise(resolve => {
	// NODE_OPTIONS is cleared because tap sets loaders in it for its own processes.
	execFile(process.execPath, [program, ...args], {env: {...process.env, NODE_OPTIONS: ''}}, (error, _stdout, stderr) => {
		resolve({code: error?.code ?? 0, stderr});
	});
});

const secret = 'a-key-that-no-log-may-show';

const settings = {
	'several mistakes': `hostId: ""\nplatformUrl: nowhere\nseeds: [here]\ndetectionMs: 1\ntokenKeys: [${secret}, short]\npolicy: random\nunknownKey: 1\n`,
	'not YAML': 'hostId: [\n',
	'empty file': '',
	'duplicate key': 'hostId: a\nhostId: b\n',
};

// Guards against invalid settings that are reported one mistake at a time, or with which the proxy starts anyway.
test('invalid settings', async t => {
	const directory = t.testdir();
	const outcomes = await Promise.all(Object.entries(settings).map(async ([name, text], index) => {
		const file = join(directory, `${index}.yaml`);
		await writeFile(file, text);
		return {name, ...await run('--settings', file)};
	}));
	for (const {name, code, stderr} of outcomes) {
		t.equal(code, 2, name);
		t.notOk(stderr.includes(secret) || stderr.includes('short"'), 'the output contains no session token key');
		t.matchSnapshot(stderr, name);
	}
});

test('missing settings', async t => {
	const [none, missing] = await Promise.all([run(), run('--settings', join(t.testdir(), 'none.yaml'))]);
	t.match(none, {code: 2, stderr: /--settings/});
	t.match(missing, {code: 2, stderr: /cannot be read/});
});
