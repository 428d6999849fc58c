import {
	DocumentDissemination, type DocumentReceiver, type ManualTimerService, type RandomSource,
} from '@dogwoodthread/coordination';
import {delaysMs, type FleetMember, type GossipFleet} from './gossip-fleet.js';
import {SimulatedPlatform} from './simulated-platform.js';

class Document implements DocumentReceiver {
	version = 0;

	offer(version: number): void {
		this.version = version;
	}
}

/** Dissemination of a document over a simulated fleet; contents take one round trip to fetch. */
export class DocumentFleet {
	readonly platform: SimulatedPlatform;
	readonly #documents = new Map<string, Document>();
	readonly #parts: DocumentDissemination[] = [];
	#version = 0;

	constructor(fleet: GossipFleet, private readonly timers: ManualTimerService, random: RandomSource) {
		this.platform = new SimulatedPlatform(timers);
		for (const member of fleet.members) {
			this.#add(member, random);
		}
	}

	/** Writes a new version; gives the time in ms until every member has it in force. */
	async change(): Promise<number> {
		this.#version = await this.#put();
		const startMs = this.timers.nowMs();
		while ([...this.#documents.values()].some(document => document.version < this.#version)) {
			await this.timers.advanceAsync(10, 5);
		}

		return this.timers.nowMs() - startMs;
	}

	/** Greatest age of a member's confirmation, in ms. */
	greatestConfirmedAgoMs(): number {
		return Math.max(...this.#parts.map(part => part.confirmedAgeMs() ?? Number.POSITIVE_INFINITY));
	}

	stop(): void {
		for (const part of this.#parts) {
			part.stop();
		}
	}

	async #put(): Promise<number> {
		const result = await this.platform.put('document', 'governing', 'content', this.#version);
		return result.match(version => version, error => {
			throw new Error(error.message);
		});
	}

	#add({membership}: FleetMember, random: RandomSource): void {
		const inForce = new Document();
		this.#documents.set(membership.self().peerAddress, inForce);
		const part = new DocumentDissemination({
			platform: this.platform,
			membership,
			peers: {
				fetch: async (address, knownVersion) => {
					await this.timers.sleep(2 * delaysMs.otherRegion);
					const {version} = this.#documents.get(address)!;
					return this.platform.get('document', 'governing').map(({value}) => version > knownVersion ? {version, content: value} : undefined);
				},
			},
			documentReceiver: inForce,
			timers: this.timers,
			random,
		});
		this.#parts.push(part);
		void part.start();
	}
}
