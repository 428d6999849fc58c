import {type BurnPlot} from '../definitions.js';
import {formatRate, formatTime} from './format.js';

const width = 640;
const height = 180;
const left = 46;
const right = 8;
const top = 12;
const bottom = 24;
/** Labels closer than this overlap. */
const labelHeight = 12;

const round = (value: number): string => value.toFixed(1);

/** Upper end of the axis: the next of 1, 2 or 5 times a power of ten, at least 2 so that 1 stays visible. */
const axisEnd = (values: number[]): number => {
	const highest = Math.max(2, ...values);
	const power = 10 ** Math.floor(Math.log10(highest));
	return [1, 2, 5, 10].map(factor => factor * power).find(end => end >= highest)!;
};

const gridLine = (y: number, label: string, kind: string): string =>
	`<line class="${kind}" x1="${left}" x2="${width - right}" y1="${round(y)}" y2="${round(y)}"/>`
	+ `<text x="${left - 6}" y="${round(y + 4)}" text-anchor="end">${label}</text>`;

const bars = ({points}: BurnPlot, end: number): string => {
	const step = (width - left - right) / points.length;
	return points.map(({atUnixMs, burnRate, total, bad}, index) => {
		const share = Math.min(1, burnRate / end);
		const barHeight = share * (height - top - bottom);
		const title = `<title>${formatTime(atUnixMs)}: burn rate ${formatRate(burnRate)}, ${Math.round(bad)} of ${Math.round(total)} bad</title>`;
		const x = left + (index * step);
		const y = round(height - bottom - barHeight);
		const shown = burnRate > 0
			? `<rect class="${burnRate > 1 ? 'over' : 'under'}" x="${round(x)}" y="${y}" width="${round(Math.max(1, step - 1))}" height="${round(barHeight)}"/>`
			: '';
		// The transparent area makes the whole column show its figures under the pointer.
		return `<g>${title}${shown}<rect class="column" x="${round(x)}" y="${top}" width="${round(step)}" height="${height - top - bottom}"/></g>`;
	}).join('');
};

/** Bars of the burn rate over time, with a line at 1, where the budget is used up exactly. */
export const svgPlot = (plot: BurnPlot): string => {
	const finite = plot.points.map(({burnRate}) => burnRate).filter(burnRate => Number.isFinite(burnRate));
	const end = axisEnd(finite);
	const y = (value: number) => height - bottom - ((value / end) * (height - top - bottom));
	const [first, last] = [plot.points.at(0), plot.points.at(-1)];
	const times = first && last
		? `<text x="${left}" y="${height - 6}">${formatTime(first.atUnixMs)}</text><text x="${width - right}" y="${height - 6}" text-anchor="end">${formatTime(last.atUnixMs)}</text>`
		: '';
	return `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${plot.title}">`
		+ gridLine(y(0), y(0) - y(1) < labelHeight ? '' : '0', 'axis') + gridLine(y(1), '1', 'limit') + gridLine(y(end), String(end), 'axis')
		+ bars(plot, end) + times + '</svg>';
};
