import {type DocumentInForce} from '@dogwoodthread/coordination';
import {test} from 'tap';
import {DocumentPolicy} from '../../src/document/index.js';
import {proxySettingsSchema} from '../../src/settings/index.js';

const settings = proxySettingsSchema.parse({
	hostId: 'p1', failureDomain: 'a', platformUrl: 'http://127.0.0.1:1', tokenKeys: ['key-of-the-session-tokens-in-tests'],
});
const documentInForce = {current: {document: {databases: {}, applications: {statements: {}}, operations: {}}}} as unknown as DocumentInForce;

// Guards against a database or a statement that the document does not name and that gets the limits of a property of every object.
test('names that every object has as properties are names like others', t => {
	for (const name of ['constructor', 'toString', '__proto__', 'hasOwnProperty', 'ledger']) {
		const policy = new DocumentPolicy(name, documentInForce, settings);
		t.same(policy.admission, {slots: 2, longSlots: 1, queueLength: 80}, name);
		t.equal(policy.connectionCap, 30, name);
		t.equal(policy.findWorkClass(name), undefined, name);
		t.equal(policy.findMaxAgeMs(name), undefined, name);
	}

	t.end();
});
