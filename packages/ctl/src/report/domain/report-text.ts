import {type BurnCause} from '@dogwoodthread/coordination';
import {type ServiceLevelReport} from '../definitions.js';
import {
	describeObjective, formatCount, formatPercent, formatRate, formatTime,
} from './format.js';

/** Most causes listed for each objective; the others consume little of the budget. */
export const maxShownCauses = 5;

const formatTable = (rows: string[][]): string => {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
};

const formatCause = ({outcome, code, database, workClass, bad, share}: BurnCause): string =>
	`    ${formatPercent(share)} (${formatCount(bad)}): ${outcome}${code ? ` ${code}` : ''}, database ${database}, class ${workClass}`;

const formatBasis = ({atUnixMs, sampleCount, firstSampleUnixMs}: ServiceLevelReport): string =>
	firstSampleUnixMs === undefined
		? `${formatTime(atUnixMs)}: no samples yet`
		: `${formatTime(atUnixMs)}: ${sampleCount} samples since ${formatTime(firstSampleUnixMs)}`;

/** Formats the report as a table, followed by the causes of each objective. */
export const formatReportText = (report: ServiceLevelReport): string => {
	const windowNames = report.objectives[0]?.windows.map(({name}) => `burn ${name}`) ?? [];
	const rows = report.objectives.map(({objective, state, windows, budgetLeft, bad, total}) => [
		objective.name, state, ...windows.map(({burnRate}) => formatRate(burnRate)), formatPercent(budgetLeft), `${formatCount(bad)} of ${formatCount(total)}`,
	]);
	const causes = report.objectives.flatMap(({objective, causes: found}) => [
		`${objective.name}: ${describeObjective(objective)}`,
		...(found.length === 0 ? ['    no bad requests'] : found.slice(0, maxShownCauses).map(cause => formatCause(cause))),
	]);
	const unread = report.unreadProxies.length === 0 ? [] : [`Not read this time: ${report.unreadProxies.join(', ')}`];
	return [
		formatBasis(report),
		...unread,
		'',
		formatTable([['objective', 'state', ...windowNames, 'budget left', 'bad'], ...rows]),
		'',
		...causes,
		'',
	].join('\n');
};
