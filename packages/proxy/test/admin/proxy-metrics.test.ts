import {create} from '@bufbuild/protobuf';
import {Access, ExecuteRequestSchema} from '@dogwoodthread/protocol';
import {test} from 'tap';
import {ProxyMetrics} from '../../src/admin/infra/proxy-metrics.js';
import {done, notRun} from '../../src/outcome/index.js';

const record = (metrics: ProxyMetrics, database: string, isKnown: boolean) => {
	if (isKnown) {
		metrics.registerDatabase(database);
	}

	const request = create(ExecuteRequestSchema, {database, access: Access.WRITE});
	metrics.recordRequest(request, isKnown
		? done({
			rows: [], sessionToken: '', repeated: false, servedBy: 'i-1', byReplica: false, ageBoundMs: 0,
		})
		: notRun('unknown-database', 'There is no such database.', 0), 1);
};

const countsByDatabase = async ({registry}: ProxyMetrics): Promise<Record<string, number>> => {
	const metrics = await registry.getSingleMetric('dogwood_requests_total')!.get();
	return Object.fromEntries(metrics.values.map(({labels, value}) => [String(labels.database), value] as const));
};

// Guards against callers that name databases that do not exist and take the labels of those that do.
test('only databases that exist get a label of their own', async t => {
	const metrics = new ProxyMetrics();
	for (let index = 0; index < 60; index += 1) {
		record(metrics, `guess-${index}`, false);
	}

	record(metrics, 'ledger', true);
	record(metrics, 'ledger', false);
	t.same(await countsByDatabase(metrics), {'*': 60, ledger: 1});
});

// Guards against a database whose requests are counted with those of the databases without a label.
test('the label of all other databases is no name of a database', async t => {
	const metrics = new ProxyMetrics();
	record(metrics, 'other', true);
	for (let index = 0; index < 52; index += 1) {
		record(metrics, `known-${index}`, true);
	}

	const counts = await countsByDatabase(metrics);
	t.match(counts, {other: 1, 'known-48': 1, '*': 3});
});
