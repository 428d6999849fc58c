import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test, type Test} from 'tap';
import {buildFleetStatus} from '../../src/commands/status/domain/fleet-status.js';
import {type StatusAnswer, type OwnedDatabase, type ProxyStatus} from '../../src/commands/status/definitions.js';
import {runCtl} from '../run.js';

const ledger: OwnedDatabase = {
	database: 'ledger', rank: 0, acting: true, term: 3, primary: 'ledger-1', instances: [{memberId: 'ledger-1', reachable: true}, {memberId: 'ledger-2', reachable: true}],
};

const proxy = (hostId: string, change: Partial<ProxyStatus> = {}): ProxyStatus => ({
	hostId, ready: true, document: {version: 7, confirmationAgeMs: 1200, isStale: false}, liveHostIds: ['p1', 'p2'], databases: [], ...change,
});

const toAnswers = (...statuses: ProxyStatus[]): StatusAnswer[] => statuses.map(status => ({address: status.hostId, status}));

const proxyWithLedger = (change: Partial<OwnedDatabase>): ProxyStatus => proxy('p1', {databases: [{...ledger, ...change}]});

const proxyWithDocument = (change: Partial<ProxyStatus['document']>): ProxyStatus => proxy('p1', {document: {...proxy('p1').document, ...change}});

// Guards against a state that needs an operator but is shown as ok, and against false alarms.
test('each state that needs attention is named', t => {
	const standby = proxy('p2', {databases: [{...ledger, acting: false, rank: 1}]});
	const cases: Array<[string, StatusAnswer[], string[]]> = [
		['all in order', toAnswers(proxyWithLedger({}), standby), []],
		['no answer', [...toAnswers(proxy('p1')), {address: 'p2', problem: 'no status'}], ['no status']],
		['not ready', toAnswers(proxy('p1', {ready: false})), ['not ready']],
		['no document', toAnswers(proxyWithDocument({version: 0, isStale: true})), ['no document in force']],
		['a change that is on its way', toAnswers(proxyWithDocument({version: 6, confirmationAgeMs: 9000}), proxy('p2')), []],
		['behind', toAnswers(proxyWithDocument({version: 6, confirmationAgeMs: 9001}), proxy('p2')), ['document is behind version 7']],
		['not confirmed', toAnswers(proxyWithDocument({isStale: true})), ['document was not confirmed for too long']],
		['damaged', toAnswers(proxyWithDocument({damagedVersion: 8})), ['document version 8 at the platform is damaged']],
		['nobody acts', toAnswers(proxyWithLedger({acting: false}), standby), ['no acting owner']],
		['the acting owner may not have been asked', toAnswers(standby), []],
		['two act', toAnswers(proxyWithLedger({}), proxy('p2', {databases: [ledger]})), ['several act: p1, p2']],
		['no primary', toAnswers(proxyWithLedger({primary: undefined, primaryLostForMs: 4000})), ['no primary for 4 s']],
		['instance unreachable', toAnswers(proxyWithLedger({instances: [{memberId: 'ledger-2', reachable: false}]})), ['unreachable: ledger-2']],
		['a standby does not judge', toAnswers(proxyWithLedger({}), proxy('p2', {databases: [{...ledger, acting: false, primary: undefined}]})), []],
		['platform down', toAnswers(proxyWithLedger({promotionFailed: 'platform-unavailable'})), ['a promotion cannot be agreed because the platform is down']],
		['no majority', toAnswers(proxyWithLedger({promotionFailed: 'no-majority'})), ['the last promotion failed: no-majority']],
	];
	for (const [name, answers, expected] of cases) {
		const {proxies, databases} = buildFleetStatus(answers);
		t.same([...proxies, ...databases].flatMap(({attention}) => attention), expected, name);
	}

	t.end();
});

const servePage = async (t: Test, page: unknown): Promise<string> => {
	const server = createServer((_request, response) => {
		response.end(JSON.stringify(page));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

// Guards against changes of output and exit codes that break operators' scripts.
test('status reads the proxies and ends with 1 if something needs attention', async t => {
	const page = {
		self: {hostId: 'p1'}, ready: true, document: proxy('p1').document, members: [{hostId: 'p1', state: 'alive'}, {hostId: 'p0', state: 'dead'}], databases: [ledger],
	};
	const [ready, notReady, wrongPage] = await Promise.all([page, {
		...page, ready: false, self: {hostId: 'p2'}, databases: [],
	}, {}].map(async each => servePage(t, each)));
	const calls = [['--admin', ready!], ['--admin', `${ready},${notReady}`, '--json'], ['--admin', wrongPage!], ['--admin', '127.0.0.1:1'], [], ['--admin', 'nowhere']];
	const results = await Promise.all(calls.map(async call => runCtl('status', ...call)));
	t.same(results.map(({code}) => code), [0, 1, 1, 1, 2, 2]);
	t.matchSnapshot(results.slice(0, 3).map(({output}) => output.replaceAll(/ADDRESS +/g, 'ADDRESS  ').replaceAll(/address +/g, 'address  ')).join('\n'));
});
