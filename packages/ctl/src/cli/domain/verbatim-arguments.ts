/** Stands before texts that the parser would convert to numbers. No argument of a process can hold it. */
const textMark = '\0';

const looksLikeNumber = (text: string): boolean => text !== '' && Number.isFinite(Number(text));

const mark = (text: string): string => looksLikeNumber(text) ? textMark + text : text;

/** Marks the arguments that `cac` would read as numbers: `007` and `7`, or two ids of 20 digits, would be the same. */
export const markTexts = (argv: readonly string[]): string[] => argv.map(argument => {
	const [, flag, value] = /^(--[^=]+=)(.*)$/s.exec(argument) ?? [];
	return flag === undefined ? mark(argument) : flag + mark(value!);
});

/** The text of a parsed argument as it was given. */
export const toGivenText = (value: unknown): string => {
	const text = String(value);
	return text.startsWith(textMark) ? text.slice(textMark.length) : text;
};
