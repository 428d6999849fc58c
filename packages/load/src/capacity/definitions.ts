/** A figure that is measured at several sizes; its slope tells what one more unit of size costs. */
export type Measurement = {
	name: string;
	/** Unit of the result. */
	unit: string;
	/** What the size counts. */
	sizeUnit: string;
	sizes: readonly number[];
	/** Scale on which the result is fitted to a line; `log2` for what grows by gossip rounds. */
	scale: 'linear' | 'log2';
	measure(size: number): Promise<number>;
};

export type Point = {size: number; value: number};

export type MeasurementResult = Omit<Measurement, 'measure'> & {
	points: Point[];
	/** Change of the result for each unit of size, or for each doubling on the `log2` scale. */
	slope: number;
	intercept: number;
};
