import {execFile} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {test} from 'tap';

const program = new URL('../../dist/bin/dogwood-proxy.js', import.meta.url).pathname;

const run = async (...args: string[]): Promise<{code: unknown; stderr: string}> => new Promise(resolve => {
	// Without the loaders that tap adds to its own processes.
	execFile(process.execPath, [program, ...args], {env: {...process.env, NODE_OPTIONS: ''}}, (error, _stdout, stderr) => {
		resolve({code: error?.code ?? 0, stderr});
	});
});

const secret = 'a-key-that-no-log-may-show';

const settings = {
	'several mistakes': `hostId: ""\nplatformUrl: nowhere\nseeds: [here]\ndetectionMs: 1\ntokenKeys: [${secret}, short]\npolicy: random\nunknownKey: 1\n`,
	'not YAML': 'hostId: [\n',
	'empty file': '',
	'key used twice': 'hostId: a\nhostId: b\n',
};

// Guards against settings that are corrected one mistake at a time, and against a start with wrong ones.
test('wrong settings', async t => {
	const directory = t.testdir();
	const outcomes = await Promise.all(Object.entries(settings).map(async ([name, text], index) => {
		const file = join(directory, `${index}.yaml`);
		await writeFile(file, text);
		return {name, ...await run('--settings', file)};
	}));
	for (const {name, code, stderr} of outcomes) {
		t.equal(code, 2, name);
		t.notOk(stderr.includes(secret) || stderr.includes('short"'), 'shows no key of session tokens');
		t.matchSnapshot(stderr, name);
	}
});

test('no settings', async t => {
	const [none, missing] = await Promise.all([run(), run('--settings', join(t.testdir(), 'none.yaml'))]);
	t.match(none, {code: 2, stderr: /--settings/});
	t.match(missing, {code: 2, stderr: /cannot be read/});
});
