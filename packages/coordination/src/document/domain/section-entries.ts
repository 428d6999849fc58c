/** Text of one top-level key with everything below it. */
export type TextEntry = {key: string; text: string; firstLine: number};

const entryStart = /^(?<key>[A-Za-z][\w.-]*):(?:\s|$)/;
const blankOrComment = /^\s*(?:#|$)/;

/**
 * Splits a YAML mapping into its top-level entries by indentation. Undefined if the text has any other
 * line without indentation (directives, document markers, sequences, quoted keys, flow collections).
 */
export const splitEntries = (text: string): TextEntry[] | undefined => {
	const entries: Array<{key: string; firstLine: number; lines: string[]}> = [];
	for (const [index, line] of text.split('\n').entries()) {
		const key = entryStart.exec(line)?.groups?.key;
		if (key !== undefined) {
			entries.push({key, firstLine: index + 1, lines: [line]});
		} else if (blankOrComment.test(line) || (entries.length > 0 && /^[ \t]/.test(line))) {
			entries.at(-1)?.lines.push(line);
		} else {
			return undefined;
		}
	}

	const last = entries.length - 1;
	return entries.map(({key, firstLine, lines}, index) => ({key, firstLine, text: `${lines.join('\n')}${index < last ? '\n' : ''}`}));
};
