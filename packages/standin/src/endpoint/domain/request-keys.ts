import {
	type Position, type RecordedKey, type Refusal, type RequestKeyValue,
} from '../definitions.js';

/** A recorded key with the position of its entry. */
export type KeyRecord = RecordedKey & {position: Position};

export type KeyLimits = {
	/** How long a record is kept, in ms. */
	retentionMs: number;
	/** Age from which a key is refused, in ms. Below the retention, to cover clock differences. */
	maxAgeMs: number;
};

/** Request keys of all applied entries. */
export class RequestKeys {
	readonly #records = new Map<string, KeyRecord>();

	constructor(private readonly limits: KeyLimits) {}

	record(recordedKey: RecordedKey, {term, index}: Position): void {
		this.#records.set(recordedKey.key, {...recordedKey, position: {term, index}});
	}

	/** Gives the refusal, the record of an earlier execution, or undefined when the request is to run. */
	lookUp({key, issuedUnixMs}: RequestKeyValue, fingerprint: string, nowUnixMs: number): {refusal: Refusal} | {record: KeyRecord} | undefined {
		this.#dropOld(nowUnixMs);
		if (nowUnixMs - issuedUnixMs > this.limits.maxAgeMs) {
			return {refusal: {code: 'request-key-expired', message: `Key ${key} is too old; check the outcome, then use a new key.`}};
		}

		const record = this.#records.get(key);
		if (record && record.fingerprint !== fingerprint) {
			return {refusal: {code: 'request-key-reused', message: `Key ${key} belongs to another statement; use a new key.`}};
		}

		return record && {record};
	}

	#dropOld(nowUnixMs: number): void {
		for (const [key, {recordedUnixMs, issuedUnixMs}] of this.#records) {
			// A key issued ahead of this clock stays valid longer, so its record is kept longer too.
			if (nowUnixMs - Math.max(recordedUnixMs, issuedUnixMs) <= this.limits.retentionMs) {
				return;
			}

			this.#records.delete(key);
		}
	}
}
