import {
	type AdmissionLimits, type DocumentInForce, type GoverningDocument, type WorkClass,
} from '@dogwoodthread/coordination';
import {type DatabasePolicy} from '../../owner/index.js';
import {type ProxySettings} from '../../settings/index.js';

/** Limits for databases that the document does not name; they are those of the smaller of the current instances. */
const defaultConnectionCap = 30;
const defaultAdmission: AdmissionLimits = {slots: 2, longSlots: 1, queueLength: 80};

/** Policy of one database; every access reads the governing document that is in force at that moment. */
export class DocumentPolicy implements DatabasePolicy {
	constructor(private readonly database: string, private readonly documentInForce: DocumentInForce, private readonly settings: ProxySettings) {}

	get connectionCap(): number {
		return this.#limits?.connections ?? defaultConnectionCap;
	}

	get admission(): AdmissionLimits {
		return this.#limits ?? defaultAdmission;
	}

	get detectionMs(): number {
		return this.#document?.operations.detectionMs ?? this.settings.detectionMs;
	}

	get unconfirmedBoundMs(): number {
		return this.#document?.operations.unconfirmedBoundMs ?? this.settings.unconfirmedBoundMs;
	}

	get connectTimeoutMs(): number {
		return this.settings.connectTimeoutMs;
	}

	get progressTimeoutMs(): number {
		return this.settings.progressTimeoutMs;
	}

	get transactionTimeoutMs(): number {
		return this.settings.transactionTimeoutMs;
	}

	get transactionIdleMs(): number {
		return this.settings.transactionIdleMs;
	}

	findWorkClass(statementName: string): WorkClass | undefined {
		return this.#findStatement(statementName)?.workClass;
	}

	findMaxAgeMs(statementName: string): number | undefined {
		return this.#findStatement(statementName)?.maxAgeMs;
	}

	get #document(): GoverningDocument | undefined {
		return this.documentInForce.current?.document;
	}

	get #limits(): GoverningDocument['databases'][string] | undefined {
		return findEntry(this.#document?.databases, this.database);
	}

	#findStatement(name: string): GoverningDocument['applications']['statements'][string] | undefined {
		return findEntry(this.#document?.applications.statements, name);
	}
}

/** The entry of that name; names that every object has as properties are not entries. */
const findEntry = <T>(entries: Readonly<Record<string, T>> | undefined, name: string): T | undefined =>
	entries && Object.hasOwn(entries, name) ? entries[name] : undefined;
