import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {type SessionToken, type SessionTokenError, type SessionTokenErrorKind} from '../definitions.js';

const formatVersion = '1';
// 128 bits of the HMAC are sufficient against forgery and keep tokens short.
const signatureBytes = 16;
const tokenPattern = /^1\.([\w-]+)\.([\da-z]{1,11})\.([\da-z]{1,11})\.([\w-]{22})$/;

const tokenError = (kind: SessionTokenErrorKind, message: string): SessionTokenError => ({kind, message});

/**
 * Encodes session tokens as `1.DATABASE.TERM.INDEX.SIGNATURE` with an HMAC-SHA-256 signature.
 * The first key signs and all keys verify, which allows key rotation.
 */
export class SessionTokenCodec {
	constructor(private readonly keys: readonly string[]) {
		if (keys.length === 0) {
			throw new TypeError('SessionTokenCodec needs at least one key; set `tokenKey` in the settings');
		}
	}

	encode(token: SessionToken): string {
		const body = [
			formatVersion,
			Buffer.from(token.database).toString('base64url'),
			token.term.toString(36),
			token.index.toString(36),
		].join('.');
		return `${body}.${this.#sign(body, this.keys[0]!)}`;
	}

	/** Verifies and decodes a token that must belong to `database`. */
	decode(text: string, database: string): Result<SessionToken, SessionTokenError> {
		const match = tokenPattern.exec(text);
		if (!match) {
			return err(tokenError('malformed-session-token', 'The session token is damaged; send the token exactly as it was received, or none to start a new session.'));
		}

		const [, databasePart = '', termPart = '', indexPart = '', signaturePart = ''] = match;
		const body = text.slice(0, text.lastIndexOf('.'));
		// Compares the encoded text: decoding would ignore four bits of the last character, so altered tokens would pass.
		const signature = Buffer.from(signaturePart);
		if (!this.keys.some(key => timingSafeEqual(Buffer.from(this.#sign(body, key)), signature))) {
			return err(tokenError('forged-session-token', 'The signature of the session token does not match; send the token as it was received, or none to start a new session.'));
		}

		const token = {
			database: Buffer.from(databasePart, 'base64url').toString(),
			term: Number.parseInt(termPart, 36),
			index: Number.parseInt(indexPart, 36),
		};
		return token.database === database
			? ok(token)
			: err(tokenError('foreign-session-token', `The session token belongs to database ${token.database}; keep one token for each database.`));
	}

	#sign(body: string, key: string): string {
		return createHmac('sha256', key).update(body).digest().subarray(0, signatureBytes).toString('base64url');
	}
}
