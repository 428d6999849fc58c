import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {test} from 'tap';
import {runFuzz} from '../../src/fuzz/index.js';

const programPath = fileURLToPath(new URL('../../dist/bin/dogwood-fuzz.js', import.meta.url));

// Guards against a process that ends, a statement that runs altered, an answer of another statement, a statement without an
// answer and memory over the limit, whatever clients, other hosts, the store and instances send.
test('a short fuzz run has no findings', {timeout: 110_000}, async t => {
	const {findings, findingCounts, served, statements} = await runFuzz({
		seed: 1, durationMs: 25_000, only: [], log: () => undefined,
	});
	t.same(findingCounts, {});
	t.same(findings.slice(0, 5), []);
	t.ok(served > 500, `${served} of ${statements} statements served`);
});

// Guards against a program that accepts a mistyped player and then plays nothing.
test('wrong usage ends with code 2, help and version with code 0', t => {
	const run = (...parameters: string[]) => spawnSync(process.execPath, [programPath, ...parameters], {encoding: 'utf8'});
	t.equal(run('--only', 'nobody').status, 2);
	t.equal(run('--seed', 'x').status, 2);
	t.equal(run('--help').status, 0);
	t.equal(run('--version').status, 0);
	t.end();
});
