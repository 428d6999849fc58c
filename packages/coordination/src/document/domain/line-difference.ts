/** Lines that were replaced, at a line (from 1) of the text before. */
export type Hunk = {line: number; removed: string[]; added: string[]};

/** Changed lines in ascending order. */
export type Difference = Hunk[];

/** Above this number of table cells (16 MB) the differing middle counts as one replaced block. */
const maxCells = 4_000_000;

const linesOf = (text: string): string[] => text.split('\n');

const commonPrefix = (a: string[], b: string[]): number => {
	const end = Math.min(a.length, b.length);
	let length = 0;
	while (length < end && a[length] === b[length]) {
		length += 1;
	}

	return length;
};

/** Lengths of the longest common subsequences of the suffixes of `a` and `b`, row by row. */
const subsequenceTable = (a: string[], b: string[]): Uint32Array => {
	const width = b.length + 1;
	const table = new Uint32Array((a.length + 1) * width);
	for (let i = a.length - 1; i >= 0; i -= 1) {
		for (let j = b.length - 1; j >= 0; j -= 1) {
			table[(i * width) + j] = a[i] === b[j]
				? table[((i + 1) * width) + j + 1]! + 1
				: Math.max(table[((i + 1) * width) + j]!, table[(i * width) + j + 1]!);
		}
	}

	return table;
};

const compareMiddle = (a: string[], b: string[], firstLine: number): Difference => {
	const width = b.length + 1;
	const table = subsequenceTable(a, b);
	const hunks: Difference = [];
	let open: Hunk | undefined;
	let i = 0;
	let j = 0;
	while (i < a.length || j < b.length) {
		if (i < a.length && j < b.length && a[i] === b[j]) {
			open = undefined;
			i += 1;
			j += 1;
			continue;
		}

		if (!open) {
			open = {line: firstLine + i, removed: [], added: []};
			hunks.push(open);
		}

		if (j >= b.length || (i < a.length && table[((i + 1) * width) + j]! >= table[(i * width) + j + 1]!)) {
			open.removed.push(a[i]!);
			i += 1;
		} else {
			open.added.push(b[j]!);
			j += 1;
		}
	}

	return hunks;
};

/** Lines that lead from `before` to `after`; empty if the texts are the same. */
export const differenceOf = (before: string, after: string): Difference => {
	if (before === after) {
		return [];
	}

	const a = linesOf(before);
	const b = linesOf(after);
	const prefix = commonPrefix(a, b);
	const suffix = commonPrefix(a.slice(prefix).reverse(), b.slice(prefix).reverse());
	const removed = a.slice(prefix, a.length - suffix);
	const added = b.slice(prefix, b.length - suffix);
	return removed.length * added.length > maxCells
		? [{line: prefix + 1, removed, added}]
		: compareMiddle(removed, added, prefix + 1);
};

/** The difference from the text after to the text before. */
export const reverseDifference = (difference: Difference): Difference => {
	let shift = 0;
	return difference.map(({line, removed, added}) => {
		const reversed = {line: line + shift, removed: added, added: removed};
		shift += added.length - removed.length;
		return reversed;
	});
};

/** Text that `difference` makes of `before`; undefined if it was made from another text. */
export const applyDifference = (before: string, difference: Difference): string | undefined => {
	const lines = linesOf(before);
	const pieces: string[][] = [];
	let next = 0;
	for (const {line, removed, added} of difference) {
		const start = line - 1;
		const found = lines.slice(start, start + removed.length);
		if (start < next || start > lines.length || found.length !== removed.length || found.some((text, index) => text !== removed[index])) {
			return undefined;
		}

		pieces.push(lines.slice(next, start), added);
		next = start + removed.length;
	}

	return [...pieces, lines.slice(next)].flat().join('\n');
};

/** Lines for people: `@@ line 3 @@`, then lines with `-` and `+`. */
export const formatDifference = (difference: Difference): string => difference
	.flatMap(({line, removed, added}) => [
		`@@ line ${line} @@`, ...removed.map(text => `-${text}`), ...added.map(text => `+${text}`),
	])
	.join('\n');
