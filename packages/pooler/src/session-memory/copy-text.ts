import {Buffer} from 'node:buffer';

/**
 * Copies Latin-1 text into a string of its own. V8 represents a part of a string as a reference to the whole, so a name of
 * 20 characters would keep the message of 1 MiB that it came in.
 */
export const copyText = (text: string): string => Buffer.from(text, 'latin1').toString('latin1');
