import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {test} from 'tap';

const scriptPath = fileURLToPath(new URL('../../dist/bin/dogwood-demo.js', import.meta.url));

type Finished = {exitCode: number; stdout: string; stderr: string};

const runDemo = async (): Promise<Finished> => new Promise(resolve => {
	const child = execFile(process.execPath, [scriptPath, '--seed', '1'], {encoding: 'utf8'}, (_error, stdout, stderr) => {
		resolve({exitCode: child.exitCode ?? -1, stdout, stderr});
	});
});

// Guards against lost, doubled or altered writes and stale reads when a primary's process is killed.
test('the demo survives the kill of the primary', async t => {
	const {exitCode, stdout, stderr} = await runDemo();
	t.equal(exitCode, 0, stderr);
	const result = JSON.parse(stdout.trim().split('\n').at(-1) ?? '') as Record<string, number>;
	t.match(result, {
		lostWrites: 0, doubledWrites: 0, alteredWrites: 0, staleSessionReads: 0, falseNotRun: 0,
	});
	t.ok((result.acknowledgedWrites ?? 0) > 0);
});
