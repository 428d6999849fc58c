import {type Measurement, type Point} from './definitions.js';

export type Line = {slope: number; intercept: number};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Line with the least squared error; a single point gives a flat line. */
export const fitLine = (points: readonly Point[], scale: Measurement['scale']): Line => {
	const scaled = points.map(({size, value}) => ({x: scale === 'log2' ? Math.log2(size) : size, y: value}));
	const meanX = mean(scaled.map(({x}) => x));
	const meanY = mean(scaled.map(({y}) => y));
	const variance = scaled.reduce((sum, {x}) => sum + ((x - meanX) ** 2), 0);
	const covariance = scaled.reduce((sum, {x, y}) => sum + ((x - meanX) * (y - meanY)), 0);
	const slope = variance === 0 ? 0 : covariance / variance;
	return {slope, intercept: meanY - (slope * meanX)};
};
