import {test} from 'tap';
import {type FleetHost, planHolders} from '../../src/index.js';

const hostsOf = (count: number): FleetHost[] => Array.from({length: count}, (_, index) => ({
	hostId: `front-${index}`, address: `10.0.0.${index}:1`, failureDomain: `d${index % 4}`, startedAtMs: 0,
}));

// Guards against more connections than an endpoint takes when every host knows the same fleet.
test('the shares of all holders stay within the limit at every size', t => {
	const sizes = [1, 2, 4, 7, 9, 13, 17, 30, 72, 300, 4900];
	t.matchSnapshot(sizes.map(size => {
		const {isEveryHost, holders, share} = planHolders('ledger', hostsOf(size), 53);
		t.ok(holders.length * share.guaranteed <= 53);
		return `${size} hosts: ${holders.length} holders, ${share.guaranteed} each${isEveryHost ? ', no forwarding' : ''}`;
	}));
	t.end();
});

// Guards against statements that take a second hop where connections suffice.
test('the small deployments of today forward nothing', t => {
	t.ok(planHolders('ledger', hostsOf(9), 34).isEveryHost);
	t.ok(planHolders('ledger', hostsOf(13), 34).isEveryHost);
	t.ok(planHolders('inventario', hostsOf(7), 30).isEveryHost);
	t.end();
});

// Guards against a service that is lost with one failure domain.
test('holders are spread over the failure domains', t => {
	const {holders} = planHolders('ledger', hostsOf(72), 53);
	t.equal(new Set(holders.map(({failureDomain}) => failureDomain)).size, 4);
	t.end();
});

// Guards against a fleet that reconnects whenever one host comes or goes.
test('the loss of a host moves at most one holder', t => {
	const hosts = hostsOf(72);
	const before = new Set(planHolders('ledger', hosts, 53).holders.map(({hostId}) => hostId));
	for (const lost of hosts) {
		const after = planHolders('ledger', hosts.filter(host => host !== lost), 53).holders.map(({hostId}) => hostId);
		t.ok(after.filter(hostId => !before.has(hostId)).length <= 1);
	}

	t.end();
});
