import {type Measurement, type MeasurementResult} from './definitions.js';
import {fitLine} from './least-squares.js';

/** Runs one measurement at each of its sizes, one after the other. */
export const runMeasurement = async ({measure, ...rest}: Measurement, onPoint: (size: number, value: number) => void): Promise<MeasurementResult> => {
	const points = [];
	for (const size of rest.sizes) {
		const value = await measure(size);
		points.push({size, value});
		onPoint(size, value);
	}

	return {...rest, points, ...fitLine(points, rest.scale)};
};

const format = (value: number): string => Math.abs(value) >= 100 || Number.isInteger(value) ? value.toFixed(0) : value.toPrecision(3);

/** Table for reading, one line for each measurement. */
export const formatTable = (results: readonly MeasurementResult[]): string => {
	const rows = results.map(result => [
		result.name,
		result.unit,
		result.points.map(({size, value}) => `${size}: ${format(value)}`).join(', '),
		`${format(result.slope)} per ${result.scale === 'log2' ? 'doubling' : result.sizeUnit}`,
		format(result.intercept),
	]);
	const table = [['measurement', 'unit', 'values by size', 'slope', 'intercept'], ...rows];
	const widths = table[0]!.map((_, column) => Math.max(...table.map(row => row[column]!.length)));
	return table.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
};
