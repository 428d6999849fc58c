/** One sample line of the Prometheus text format. */
export type MetricLine = {
	name: string;
	labels: Record<string, string>;
	value: number;
};

const linePattern = /^([a-zA-Z_:][\w:]*)(?:{(.*)})?\s+(\S+)(?:\s+-?\d+)?$/s;
const labelPattern = /\s*([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"\s*(?:,|$)/gsy;

const unescapeLabel = (text: string): string =>
	text.replaceAll(/\\(.)/gs, (_, escaped: string) => escaped === 'n' ? '\n' : escaped);

const parseValue = (text: string): number => {
	const special = new Map([['+Inf', Infinity], ['-Inf', -Infinity]]);
	return special.get(text) ?? Number(text);
};

const parseLabels = (text: string): Record<string, string> =>
	Object.fromEntries([...text.matchAll(labelPattern)].map(([, name, value]) => [name!, unescapeLabel(value!)]));

/** Parses the Prometheus text exposition format 0.0.4; skips comments and malformed lines. */
export const parsePrometheusText = (text: string): MetricLine[] =>
	text.split('\n').flatMap(line => {
		const match = line.startsWith('#') ? null : linePattern.exec(line.trim());
		return match ? [{name: match[1]!, labels: parseLabels(match[2] ?? ''), value: parseValue(match[3]!)}] : [];
	});
