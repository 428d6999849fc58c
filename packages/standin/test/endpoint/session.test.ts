import {test} from 'tap';
import {Access} from '@dogwoodthread/protocol';
import {startGroup} from './fixtures/group.js';

// Guards against statements whose answer or effect differs from what callers were told (P4).
test('statements change and read the rows', async t => {
	const [primary] = await startGroup(t, 1);
	const session = await primary!.session();
	const outcomes = [
		await session.write(1, 'hold_lane', 'b1', 'north-1', '09:00', 'amina'),
		await session.write(1, 'hold_lane', 'b2', 'north-1', '09:00', 'brian'),
		await session.write(1, 'pay_deposit', 'p1', 'b1', 1500),
		await session.write(1, 'amend_booking', 'b1', 'two balls'),
		await session.read('get_booking', 'b1'),
		await session.read('lane_board', 'north'),
		await session.read('list_payments', 'b1'),
		await session.write(1, 'cancel_booking', 'b1'),
		await session.write(1, 'refund_run', 'november'),
		await session.read('reconcile_inventory'),
	];
	t.matchSnapshot(outcomes.map(({rows, completed}) => ({
		rows, rowCount: completed?.rowCount, error: completed?.statementError?.code, position: `${completed?.position?.term}/${completed?.position?.index}`,
	})));
});

// Guards against requests that run although they were refused (P5).
test('requests that are refused leave no entry', async t => {
	const [primary] = await startGroup(t, 1);
	const session = await primary!.session();
	const cases = [
		[{name: 'drop_tables', parameters: [], term: 1}, 'unknown-statement'],
		[{name: 'hold_lane', parameters: ['b1'], term: 1}, 'bad-parameters'],
		[{
			name: 'hold_lane', parameters: ['b1', 'a', 'b', 'c'], access: Access.READ,
		}, 'read-only'],
		[{name: 'hold_lane', parameters: ['b1', 'a', 'b', 'c'], term: 0}, 'stale-term'],
		[{name: 'hold_lane', parameters: ['b1', 'a', 'b', 'c'], term: 2}, 'not-primary'],
	] as const;
	for (const [request, code] of cases) {
		const {refused} = await session.execute({...request, parameters: [...request.parameters]});
		t.equal(refused?.code, code);
	}

	const log = await primary!.log();
	t.equal(log.length, 1);
});
