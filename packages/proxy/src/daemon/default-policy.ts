import {type DatabasePolicy} from '../owner/index.js';
import {type ProxySettings} from '../settings/index.js';

/** Policy of a database that the governing document does not name. */
export const defaultPolicy = (settings: ProxySettings): DatabasePolicy => ({
	connectionCap: 30,
	admission: {slots: 2, longSlots: 1, queueLength: 200},
	detectionMs: settings.detectionMs,
	connectTimeoutMs: settings.connectTimeoutMs,
	progressTimeoutMs: settings.progressTimeoutMs,
	unconfirmedBoundMs: settings.unconfirmedBoundMs,
	transactionTimeoutMs: settings.transactionTimeoutMs,
	transactionIdleMs: settings.transactionIdleMs,
	workClassOf: () => undefined,
	maxAgeMsOf: () => undefined,
});
