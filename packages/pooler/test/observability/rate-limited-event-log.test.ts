import {readFile} from 'node:fs/promises';
import {ManualTimerService} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {
	RateLimitedEventLog, type EventFields, eventNames, isSampled, PoolerMetrics,
} from '../../src/index.js';

// Guards against a flood of refusals that slows down service or hides other events.
test('each event has its own limit per second, and suppressed lines are counted', t => {
	const timers = new ManualTimerService();
	const lines: EventFields[] = [];
	const log = new RateLimitedEventLog({timers, sink: (_level, line) => lines.push(line)});
	for (let count = 0; count < 1000; count += 1) {
		log.write('request-refused', {requestId: `q${count}`});
	}

	log.write('leader-changed', {service: 'ledger'});
	timers.advance(1000);
	log.write('leader-changed', {service: 'ledger'});
	t.equal(lines.filter(({event}) => event === 'request-refused').length, 50);
	t.equal(lines.filter(({event}) => event === 'leader-changed').length, 2);
	t.match(lines.find(({event}) => event === 'lines-suppressed'), {of: 'request-refused', count: 950});
	t.end();
});

// Guards against logging a request at some hosts only.
test('sampling depends only on the request id', t => {
	t.equal(isSampled('5c0e7a21d94b36f8'), isSampled('5c0e7a21d94b36f8'));
	const share = Array.from({length: 3200}, (_, index) => isSampled(`request-${index}`)).filter(Boolean).length / 3200;
	t.ok(share > 0.01 && share < 0.08, `share ${share}`);
	t.end();
});

// Guards against events and metrics that operators see but cannot look up.
test('docs/OPERATIONS.md lists every event and metric', async t => {
	const page = await readFile(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
	const metrics = new PoolerMetrics().registry.getMetricsAsArray().map(({name}) => name);
	t.same([...eventNames, ...metrics].filter(name => !page.includes(`\`${name}`)), []);
});
