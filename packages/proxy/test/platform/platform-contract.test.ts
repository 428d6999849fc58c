import {MemoryPlatform} from '@dogwoodthread/coordination';
import {startPlatform} from '@dogwoodthread/standin';
import {test} from 'tap';
import {HttpPlatform} from '../../src/platform/index.js';
import {platformContract} from './platform-contract.js';

for (const [name, check] of Object.entries(platformContract)) {
	test(`MemoryPlatform: ${name}`, async t => {
		const platform = new MemoryPlatform();
		await check(t, {
			platform,
			setHosts(hosts) {
				platform.hostList = hosts;
			},
		});
	});

	test(`HttpPlatform: ${name}`, async t => {
		const standin = await startPlatform();
		t.teardown(async () => standin.close());
		const platform = new HttpPlatform({baseUrl: standin.url, timeoutMs: 5000});
		await check(t, {
			platform,
			setHosts(hosts) {
				standin.setHosts(hosts);
			},
		});
	});
}
