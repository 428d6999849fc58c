import {
	DocumentDissemination, DocumentInForce, GossipMembership, InForceReceiver,
} from '@dogwoodthread/coordination';
import {err, ok} from 'neverthrow';

/** One member of the fleet: its member table and the document that it has in force. */
export class FleetMember {
	#dissemination;

	/** `fleet` maps peer addresses to members; it replaces the network for calls between them. */
	constructor({hostId, failureDomain, fleet, network, platform, timers, random}) {
		const transport = network.create();
		const peerAddress = transport.address.replace(/\d+$/, '7001');
		this.hostId = hostId;
		this.transport = transport;
		this.membership = new GossipMembership({
			self: {
				hostId, failureDomain, region: 'nairobi', startedUnixMs: timers.wallClockMs(), gossipAddress: transport.address, peerAddress,
			},
			transport,
			timers,
			random,
		});
		this.inForce = new DocumentInForce({timers});
		this.#dissemination = new DocumentDissemination({
			platform,
			membership: this.membership,
			peers: {
				async fetch(address, knownVersion) {
					const peer = fleet.get(address);
					const content = peer?.inForce.peerContentSince(knownVersion);
					if (!peer) {
						return err(new Error(`${address} did not answer.`));
					}

					return ok(content === undefined ? undefined : {version: peer.inForce.version, content});
				},
			},
			documentReceiver: new InForceReceiver(this.inForce),
			timers,
			random,
		});
		fleet.set(peerAddress, this);
	}

	get watchesPlatform() {
		return this.#dissemination.isWatcher();
	}

	start(seedAddress) {
		this.membership.join([seedAddress]);
		// Not awaited: it resolves once a version is in force, which needs the simulated clock to advance.
		void this.#dissemination.start(); // eslint-disable-line no-void
	}

	aliveMembers() {
		return this.membership.members().filter(({state}) => state === 'alive').map(({hostId}) => hostId).toSorted();
	}

	/** Stops without announcing it, like a killed process. */
	async crash() {
		this.#dissemination.stop();
		this.membership.stop();
		await this.transport.close();
	}
}
