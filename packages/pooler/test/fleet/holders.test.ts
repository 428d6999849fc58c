import {test} from 'tap';
import {type FleetHost, planHolders} from '../../src/index.js';

const createHosts = (count: number): FleetHost[] => Array.from({length: count}, (_, index) => ({
	hostId: `front-${index}`, address: `10.0.0.${index}:1`, failureDomain: `d${index % 4}`, startedAtMs: 0,
}));

// Guards against exceeding the connection limit of an endpoint when all hosts have the same view of the fleet.
test('the shares of all holders stay within the connection limit at every fleet size', t => {
	const sizes = [1, 2, 4, 7, 9, 13, 17, 30, 72, 300, 4900];
	t.matchSnapshot(sizes.map(size => {
		const {isEveryHost, holders, share} = planHolders('ledger', createHosts(size), 53);
		t.ok(holders.length * share.guaranteed <= 53);
		return `${size} hosts: ${holders.length} holders, ${share.guaranteed} each${isEveryHost ? ', no forwarding' : ''}`;
	}));
	t.end();
});

// Guards against a needless second hop where there are enough connections for every host.
test('the small existing deployments forward no statements', t => {
	t.ok(planHolders('ledger', createHosts(9), 34).isEveryHost);
	t.ok(planHolders('ledger', createHosts(13), 34).isEveryHost);
	t.ok(planHolders('inventario', createHosts(7), 30).isEveryHost);
	t.end();
});

// Guards against a service that becomes unavailable when one failure domain fails.
test('holders are spread over the failure domains', t => {
	const {holders} = planHolders('ledger', createHosts(72), 53);
	t.equal(new Set(holders.map(({failureDomain}) => failureDomain)).size, 4);
	t.end();
});

// Guards against reconnecting throughout the fleet whenever a host joins or leaves.
test('the loss of a host replaces at most one holder', t => {
	const hosts = createHosts(72);
	const before = new Set(planHolders('ledger', hosts, 53).holders.map(({hostId}) => hostId));
	for (const lost of hosts) {
		const after = planHolders('ledger', hosts.filter(host => host !== lost), 53).holders.map(({hostId}) => hostId);
		t.ok(after.filter(hostId => !before.has(hostId)).length <= 1);
	}

	t.end();
});
