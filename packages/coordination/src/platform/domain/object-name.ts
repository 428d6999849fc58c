import {err, ok, type Result} from 'neverthrow';
import {type PlatformError} from '../definitions.js';

/** Names that a URL cannot hold as one part of its path: nothing, steps of the path, and unpaired surrogates, which have no encoding. */
const unaddressableName = /^\.{0,2}$|\p{Cs}/u;

/** Encodes the name of an object as one part of the path of a URL. */
export const encodeObjectName = (name: string): Result<string, PlatformError> => unaddressableName.test(name)
	? err({kind: 'not-found', message: `No object can have the name ${JSON.stringify(name)}, because the path of a URL cannot hold it; rename it.`, outcomeKnown: true})
	: ok(encodeURIComponent(name));
