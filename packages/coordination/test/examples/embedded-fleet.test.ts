import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {test} from 'tap';

const program = fileURLToPath(new URL('../../../../examples/embedded-fleet/main.js', import.meta.url));

// Guards against an example that no longer works with the current API of the library. `execFile` rejects on any
// nonzero exit code. Times depend on the default gossip settings, so the snapshot leaves them out.
test('the example of an embedded fleet', async t => {
	const {stdout, stderr} = await promisify(execFile)(process.execPath, [program], {timeout: 60_000});
	t.equal(stderr, '');
	t.matchSnapshot(stdout.replaceAll(/\d+ ms/g, 'N ms'));
});
