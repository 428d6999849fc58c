import {type LogPosition} from '../definitions.js';

export const zeroPosition: LogPosition = {term: 0, index: 0};

/** Order by term, then by index. */
export const comparePositions = (a: LogPosition, b: LogPosition): number =>
	a.term === b.term ? a.index - b.index : a.term - b.term;

export const maxPosition = (a: LogPosition, b: LogPosition): LogPosition => comparePositions(a, b) >= 0 ? a : b;

export const majorityOf = (groupSize: number): number => Math.floor(groupSize / 2) + 1;
