/** Replaced lines. `line` is their position in the text before, starting at 1. */
export type Hunk = {line: number; removed: string[]; added: string[]};

/** Hunks in ascending order of their lines. */
export type Difference = Hunk[];

/** Limit for the table of common subsequences (16 MB). Above it the differing middle becomes one replaced block. */
const maxTableCells = 4_000_000;

const splitLines = (text: string): string[] => text.split('\n');

const commonPrefixLength = (a: string[], b: string[]): number => {
	const end = Math.min(a.length, b.length);
	let length = 0;
	while (length < end && a[length] === b[length]) {
		length += 1;
	}

	return length;
};

/** Lengths of the longest common subsequences of all pairs of suffixes of `a` and `b`, in row-major order. */
const commonSubsequenceTable = (a: string[], b: string[]): Uint32Array => {
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

/** Line difference by longest common subsequence; `firstLine` is the line number of `a[0]`. */
const diffByCommonSubsequence = (a: string[], b: string[], firstLine: number): Difference => {
	const width = b.length + 1;
	const table = commonSubsequenceTable(a, b);
	const hunks: Difference = [];
	let currentHunk: Hunk | undefined;
	let i = 0;
	let j = 0;
	while (i < a.length || j < b.length) {
		if (i < a.length && j < b.length && a[i] === b[j]) {
			currentHunk = undefined;
			i += 1;
			j += 1;
			continue;
		}

		if (!currentHunk) {
			currentHunk = {line: firstLine + i, removed: [], added: []};
			hunks.push(currentHunk);
		}

		if (j >= b.length || (i < a.length && table[((i + 1) * width) + j]! >= table[(i * width) + j + 1]!)) {
			currentHunk.removed.push(a[i]!);
			i += 1;
		} else {
			currentHunk.added.push(b[j]!);
			j += 1;
		}
	}

	return hunks;
};

/** Line difference that turns `before` into `after`; empty if the texts are equal. */
export const computeDifference = (before: string, after: string): Difference => {
	if (before === after) {
		return [];
	}

	const a = splitLines(before);
	const b = splitLines(after);
	const prefix = commonPrefixLength(a, b);
	const suffix = commonPrefixLength(a.slice(prefix).reverse(), b.slice(prefix).reverse());
	const removed = a.slice(prefix, a.length - suffix);
	const added = b.slice(prefix, b.length - suffix);
	return removed.length * added.length > maxTableCells
		? [{line: prefix + 1, removed, added}]
		: diffByCommonSubsequence(removed, added, prefix + 1);
};

/** The inverse difference, which turns the text after back into the text before. */
export const reverseDifference = (difference: Difference): Difference => {
	let lineShift = 0;
	return difference.map(({line, removed, added}) => {
		const reversed = {line: line + lineShift, removed: added, added: removed};
		lineShift += added.length - removed.length;
		return reversed;
	});
};

/** Applies `difference` to `before`; undefined if the difference was computed from another text. */
export const applyDifference = (before: string, difference: Difference): string | undefined => {
	const lines = splitLines(before);
	const parts: string[][] = [];
	let nextIndex = 0;
	for (const {line, removed, added} of difference) {
		const start = line - 1;
		const found = lines.slice(start, start + removed.length);
		if (start < nextIndex || start > lines.length || found.length !== removed.length || found.some((text, index) => text !== removed[index])) {
			return undefined;
		}

		parts.push(lines.slice(nextIndex, start), added);
		nextIndex = start + removed.length;
	}

	return [...parts, lines.slice(nextIndex)].flat().join('\n');
};

/** Formats a difference for people: `@@ line 3 @@`, then the removed lines with `-` and the added ones with `+`. */
export const formatDifference = (difference: Difference): string => difference
	.flatMap(({line, removed, added}) => [
		`@@ line ${line} @@`, ...removed.map(text => `-${text}`), ...added.map(text => `+${text}`),
	])
	.join('\n');
