import {readFile} from 'node:fs/promises';
import {test} from 'tap';
import {ProxyMetrics} from '../../src/admin/index.js';
import {notRunCatalogue, unknownCatalogue} from '../../src/outcome/catalogue.js';

const page = new URL('../../../../docs/OPERATIONS.md', import.meta.url);

/** Returns the first two cells of the table rows below a heading. */
const readRowsBelow = (text: string, heading: string): Array<[string, string]> => {
	const section = text.split(`\n${heading}\n`)[1]?.split('\n#')[0] ?? '';
	return [...section.matchAll(/^\| `(?<name>[^`]+)` \| (?<second>.+?) \|/gm)].map(({groups}) => [groups!.name!, groups!.second!]);
};

const listTitles = (catalogue: Record<string, {title: string}>): Array<[string, string]> =>
	Object.entries(catalogue).map(([code, {title}]) => [code, title]);

// Every code and metric that operators can encounter must be documented.
test('the operations page lists every code and metric', async t => {
	const text = await readFile(page, 'utf8');
	t.same(readRowsBelow(text, '### Not run'), listTitles(notRunCatalogue));
	t.same(readRowsBelow(text, '### Unknown'), listTitles(unknownCatalogue));

	const metrics = new ProxyMetrics();
	metrics.registerOwnerGauges({all: () => []} as unknown as Parameters<ProxyMetrics['registerOwnerGauges']>[0]);
	const names = metrics.registry.getMetricsAsArray().map(({name}) => name).filter(name => name.startsWith('dogwood_'));
	t.same(readRowsBelow(text, '## Metrics').map(([name]) => name), names);
});
