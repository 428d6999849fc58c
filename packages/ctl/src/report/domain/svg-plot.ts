import {type BurnPlot} from '../definitions.js';
import {formatRate, formatTime} from './format.js';

const width = 640;
const height = 180;
const marginLeft = 46;
const marginRight = 8;
const marginTop = 12;
const marginBottom = 24;
/** Labels closer together than this, in SVG units, overlap. */
const labelHeight = 12;

const formatCoordinate = (value: number): string => value.toFixed(1);

/** Upper end of the axis: the next 1, 2 or 5 times a power of ten, at least 2 so that the line at 1 is visible. */
const findAxisMaximum = (values: number[]): number => {
	const highest = Math.max(2, ...values);
	const power = 10 ** Math.floor(Math.log10(highest));
	return [1, 2, 5, 10].map(factor => factor * power).find(end => end >= highest)!;
};

const renderGridLine = (y: number, label: string, kind: string): string =>
	`<line class="${kind}" x1="${marginLeft}" x2="${width - marginRight}" y1="${formatCoordinate(y)}" y2="${formatCoordinate(y)}"/>`
	+ `<text x="${marginLeft - 6}" y="${formatCoordinate(y + 4)}" text-anchor="end">${label}</text>`;

const renderBars = ({points}: BurnPlot, end: number): string => {
	const step = (width - marginLeft - marginRight) / points.length;
	return points.map(({atUnixMs, burnRate, total, bad}, index) => {
		const share = Math.min(1, burnRate / end);
		const barHeight = share * (height - marginTop - marginBottom);
		const title = `<title>${formatTime(atUnixMs)}: burn rate ${formatRate(burnRate)}, ${Math.round(bad)} of ${Math.round(total)} bad</title>`;
		const x = marginLeft + (index * step);
		const y = formatCoordinate(height - marginBottom - barHeight);
		const bar = burnRate > 0
			? `<rect class="${burnRate > 1 ? 'over' : 'under'}" x="${formatCoordinate(x)}" y="${y}" width="${formatCoordinate(Math.max(1, step - 1))}" height="${formatCoordinate(barHeight)}"/>`
			: '';
		// The transparent rectangle makes the whole column show the tooltip on hover.
		return `<g>${title}${bar}<rect class="column" x="${formatCoordinate(x)}" y="${marginTop}" width="${formatCoordinate(step)}" height="${height - marginTop - marginBottom}"/></g>`;
	}).join('');
};

/** Renders the burn rate over time as bars, with a line at 1, the rate that uses up the budget exactly. */
export const renderSvgPlot = (plot: BurnPlot): string => {
	const finiteRates = plot.points.map(({burnRate}) => burnRate).filter(burnRate => Number.isFinite(burnRate));
	const end = findAxisMaximum(finiteRates);
	const y = (value: number) => height - marginBottom - ((value / end) * (height - marginTop - marginBottom));
	const [first, last] = [plot.points.at(0), plot.points.at(-1)];
	const times = first && last
		? `<text x="${marginLeft}" y="${height - 6}">${formatTime(first.atUnixMs)}</text><text x="${width - marginRight}" y="${height - 6}" text-anchor="end">${formatTime(last.atUnixMs)}</text>`
		: '';
	return `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${plot.title}">`
		+ renderGridLine(y(0), y(0) - y(1) < labelHeight ? '' : '0', 'axis') + renderGridLine(y(1), '1', 'limit') + renderGridLine(y(end), String(end), 'axis')
		+ renderBars(plot, end) + times + '</svg>';
};
