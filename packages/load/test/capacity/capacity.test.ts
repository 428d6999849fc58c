import {test} from 'tap';
import {
	fitLine, formatTable, type Measurement, runMeasurement,
} from '../../src/capacity/index.js';

const measurement = (scale: Measurement['scale'], measure: (size: number) => number): Measurement => ({
	name: 'cost', unit: 'B', sizeUnit: 'member', sizes: [1, 2, 8], scale, measure: async size => measure(size),
});

// The fit's floating-point error is far below nine decimals.
const rounded = ({slope, intercept}: {slope: number; intercept: number}): number[] => [slope, intercept].map(value => Number(value.toFixed(9)));

// Guards against capacity figures that are derived from a wrong slope.
test('the fitted line gives slope and intercept on either scale', async t => {
	const linear = await runMeasurement(measurement('linear', size => (3 * size) + 5), () => undefined);
	t.strictSame(rounded(linear), [3, 5]);
	const rounds = await runMeasurement(measurement('log2', size => (4 * Math.log2(size)) + 1), () => undefined);
	t.strictSame(rounded(rounds), [4, 1]);
	t.strictSame(fitLine([{size: 9, value: 7}], 'linear'), {slope: 0, intercept: 7});
	t.matchSnapshot(formatTable([linear, rounds]));
});
