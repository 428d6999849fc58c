import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'tap';
import {runSoak} from '../../src/soak/index.js';

// Guards against broken guarantees to clients while processes, links, instances and the store fail. With this seed, a
// replica once stayed fenced permanently.
test('a short soak run has no violations', {timeout: 110_000}, async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'dogwood-soak-test-'));
	const report = await runSoak({
		seed: 4, durationMs: 21_000, hosts: 4, restores: 2, folder, log: () => undefined,
	});
	t.same(report.violations, []);
	t.ok(report.served > 500, `${report.served} statements served`);
	if (report.ok) {
		await rm(folder, {recursive: true});
	} else {
		t.comment(`logs and history: ${folder}`);
	}
});
