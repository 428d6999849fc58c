import {type BurnReport} from '@dogwoodthread/coordination';
import {type BurnPlot, type ServiceLevelReport} from '../definitions.js';
import {
	describeObjective, formatCount, formatPercent, formatRate, formatTime,
} from './format.js';
import {maxShownCauses} from './report-text.js';
import {renderSvgPlot} from './svg-plot.js';

const styleSheet = `
:root { color-scheme: light dark; --line: #8884; --good: #2e7d4f; --warn: #b26a00; --bad: #c0392b; }
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 70rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin: 0; } h2 { font-size: 1.15rem; margin: 0; } h3 { font-size: .9rem; margin: .8rem 0 .2rem; }
p { margin: .2rem 0 .8rem; } .note { opacity: .75; }
section { border: 1px solid var(--line); border-radius: 8px; margin: 1.2rem 0; padding: 1rem 1.2rem; }
header { align-items: baseline; display: flex; flex-wrap: wrap; gap: .8rem; }
.state { border-radius: 4px; color: #fff; font-size: .8rem; padding: .1rem .5rem; }
.ok { background: var(--good); } .slow-burn { background: var(--warn); } .fast-burn { background: var(--bad); }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; width: 100%; }
th, td { border-bottom: 1px solid var(--line); padding: .25rem .6rem .25rem 0; text-align: left; }
td.number, th.number { text-align: right; }
.meter { background: var(--line); border-radius: 4px; height: .6rem; margin: .3rem 0 .8rem; overflow: hidden; }
.meter div { height: 100%; }
.plots { display: grid; gap: 0 1.5rem; grid-template-columns: repeat(auto-fit, minmax(min(100%, 24rem), 1fr)); }
svg { display: block; width: 100%; } svg text { fill: currentColor; font-size: 11px; opacity: .8; }
.axis { stroke: var(--line); } .limit { stroke: var(--warn); stroke-dasharray: 4 3; }
rect.over { fill: var(--bad); } rect.under { fill: var(--good); } rect.column { fill: transparent; }
`;

const escapeHtml = (text: string): string =>
	text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');

const renderRow = (cells: string[], tag: 'td' | 'th', numberFrom: number): string =>
	`<tr>${cells.map((cell, index) => `<${tag}${index >= numberFrom ? ' class="number"' : ''}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;

const renderTable = (head: string[], rows: string[][], numberFrom: number): string =>
	`<div class="scroll"><table><thead>${renderRow(head, 'th', numberFrom)}</thead><tbody>${rows.map(cells => renderRow(cells, 'td', numberFrom)).join('')}</tbody></table></div>`;

const renderWindowTable = ({windows}: BurnReport): string => renderTable(
	['window', 'burn rate', 'bad', 'requests'],
	windows.map(({name, burnRate, bad, total}) => [name, formatRate(burnRate), formatCount(bad), formatCount(total)]),
	1,
);

const renderCauseTable = ({causes}: BurnReport): string => causes.length === 0
	? '<p class="note">No bad requests.</p>'
	: renderTable(
		['outcome', 'code', 'database', 'class', 'bad', 'share'],
		causes.slice(0, maxShownCauses).map(({outcome, code, database, workClass, bad, share}) =>
			[outcome, code, database, workClass, formatCount(bad), formatPercent(share)]),
		4,
	);

const renderBudgetMeter = ({budgetLeft}: BurnReport): string => {
	const left = Math.min(1, Math.max(0, budgetLeft));
	const state = left > 0.5 ? 'ok' : (left > 0.1 ? 'slow-burn' : 'fast-burn');
	return `<div class="meter"><div class="${state}" style="width:${(left * 100).toFixed(1)}%"></div></div>`;
};

const renderObjective = (report: BurnReport & {plots: BurnPlot[]}): string => {
	const {objective, state, budgetLeft, bad, total, usedThresholdMs} = report;
	const boundNote = usedThresholdMs === undefined || usedThresholdMs === objective.thresholdMs
		? ''
		: `; measured at the histogram bound of ${usedThresholdMs} ms`;
	return `<section><header><h2>${escapeHtml(objective.name)}</h2><span class="state ${state}">${state}</span></header>
<p>${escapeHtml(describeObjective(objective))}${boundNote}</p>
<p>Error budget left: <strong>${formatPercent(budgetLeft)}</strong> (${formatCount(bad)} bad of ${formatCount(total)})</p>${renderBudgetMeter(report)}
${renderWindowTable(report)}
<h3>What consumed the error budget</h3>
${renderCauseTable(report)}
<div class="plots">${report.plots.map(plot => `<div><h3>${escapeHtml(plot.title)}</h3>${renderSvgPlot(plot)}</div>`).join('')}</div></section>`;
};

/** Renders the report as one HTML page without scripts or external assets. */
export const renderReportHtml = (report: ServiceLevelReport): string => {
	const since = report.firstSampleUnixMs === undefined ? 'no samples yet' : `${report.sampleCount} samples since ${formatTime(report.firstSampleUnixMs)}`;
	const unread = report.unreadProxies.length === 0 ? '' : `<p>Not read this time: ${escapeHtml(report.unreadProxies.join(', '))}</p>`;
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service levels</title><style>${styleSheet}</style></head>
<body><h1>Service levels</h1><p class="note">${formatTime(report.atUnixMs)}, ${since}. A burn rate of 1 uses up the budget exactly over the window of the objective.</p>${unread}
${report.objectives.map(objective => renderObjective(objective)).join('\n')}
</body></html>
`;
};
