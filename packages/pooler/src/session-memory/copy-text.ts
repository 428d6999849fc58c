import {Buffer} from 'node:buffer';

/**
 * Copies text into a string of its own. V8 represents a part of a string as a reference to the whole, so a name of 20
 * characters would keep the message of 1 MiB that it came in.
 */
export function copyText(text: string): string {
	// Clients' text is Latin-1, which takes half the memory; the names of databases may be any Unicode.
	const encoding = /[\u0100-\uFFFF]/.test(text) ? 'utf16le' : 'latin1';
	return Buffer.from(text, encoding).toString(encoding);
}
