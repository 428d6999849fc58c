const toEscape = (character: string): string => character === '\\' ? String.raw`\\` : `\\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`;

/**
 * Text of other parties for a line that a person reads. Characters that end the line, move the cursor or change the direction
 * of the text are escaped, so that the text cannot look like lines or fields of the command.
 */
export const toInlineText = (text: string): string => text.replaceAll(/[\\\p{Cc}\p{Cf}\p{Cs}\p{Zl}\p{Zp}]/gu, toEscape);

/** As `toInlineText`, for the value of a field: in quotes if it could be more than one. */
export const toFieldValue = (value: unknown): string => {
	const text = toInlineText(String(value));
	return /^[^\s"=]+$/.test(text) ? text : `"${text.replaceAll('"', String.raw`\"`)}"`;
};
