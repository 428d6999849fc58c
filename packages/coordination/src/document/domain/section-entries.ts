/** A top-level key with its text, which includes everything nested below it. */
export type TextEntry = {key: string; text: string; firstLine: number};

const entryStartPattern = /^(?<key>[A-Za-z][\w.-]*):(?:\s|$)/;
const blankOrCommentPattern = /^\s*(?:#|$)/;

/**
 * Splits a YAML mapping into its top-level entries by indentation. Returns undefined if an unindented line
 * is anything but a plain key, a comment or blank (for example a directive, a document marker, a sequence,
 * a quoted key or a flow collection).
 */
export const splitEntries = (text: string): TextEntry[] | undefined => {
	const entries: Array<{key: string; firstLine: number; lines: string[]}> = [];
	for (const [index, line] of text.split('\n').entries()) {
		const key = entryStartPattern.exec(line)?.groups?.key;
		if (key !== undefined) {
			entries.push({key, firstLine: index + 1, lines: [line]});
		} else if (blankOrCommentPattern.test(line) || (entries.length > 0 && /^[ \t]/.test(line))) {
			entries.at(-1)?.lines.push(line);
		} else {
			return undefined;
		}
	}

	const last = entries.length - 1;
	return entries.map(({key, firstLine, lines}, index) => ({key, firstLine, text: `${lines.join('\n')}${index < last ? '\n' : ''}`}));
};
