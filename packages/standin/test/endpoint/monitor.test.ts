import {test} from 'tap';
import {startGroup} from './fixtures/group.js';

// Guards against proxies that decide on an old status of an instance (P1, P2, P7).
test('a monitor pushes every change of the status and answers pings', async t => {
	const [m0, m1] = await startGroup(t, 2, {replicationTimeoutMs: 100});
	const monitor = m1!.monitor();
	const session = await m0!.session();
	t.match(await monitor.status(({received}) => received?.index === 1n), {
		role: 'replica', fencedTerm: 1n, memberId: 'm1', slots: 5,
	});
	await session.write(1, 'pay_deposit', 'p1', 'b1', 100);
	t.match(await monitor.status(({received}) => received?.index === 2n), {verifiedTerm: 1n, primaryContact: true, pingId: 0n});
	monitor.ping(7n);
	t.match(await monitor.status(({pingId}) => pingId === 7n), {received: {index: 2n}, applied: {index: 2n}});
	await m0!.faults({frozen: true});
	t.ok(await monitor.status(({primaryContact}) => !primaryContact), 'contact lost');
	await m0!.faults({frozen: false});
	t.ok(await monitor.status(({primaryContact}) => primaryContact), 'contact found');
	await m1!.faults({leaving: true});
	t.ok(await monitor.status(({leaving}) => leaving), 'leaving');
	await m1!.fence(2);
	t.match(await monitor.status(({fencedTerm}) => fencedTerm === 2n), {verifiedTerm: 1n, primaryContact: false});
	await m1!.promote(2);
	t.match(await monitor.status(({role}) => role === 'primary'), {verifiedTerm: 2n, received: {term: 2n, index: 3n}, primaryContact: true});
});
