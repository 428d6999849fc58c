import {
	errAsync, okAsync, ResultAsync, ok, type Result,
} from 'neverthrow';
import {test, type Test} from 'tap';
import {
	DocumentDissemination, type DocumentContent, type ManualTimerService, MemoryPlatform, type ObjectKind, type PlatformError, type WatchBatch,
} from '../../src/index.js';
import {SimulatedFleet} from '../membership/simulated-fleet.js';

const seed = Number(process.env.SEED ?? 11);
const unavailable: PlatformError = {kind: 'unavailable', message: 'No answer; try again.', outcomeKnown: true};

/** Platform on manual time that can be down, or silent for watches that wait. */
class FaultyPlatform extends MemoryPlatform {
	isDown = false;
	isSilent = false;
	calls = 0;

	constructor(private readonly timers: ManualTimerService) {
		super();
	}

	override list(kind: ObjectKind) {
		this.calls += 1;
		return this.isDown ? errAsync(unavailable) : super.list(kind);
	}

	override watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError> {
		this.calls += 1;
		return new ResultAsync(this.#poll(kind, revision, waitMs));
	}

	async #poll(kind: ObjectKind, revision: number, waitMs: number): Promise<Result<WatchBatch, PlatformError>> {
		const endMs = this.timers.nowMs() + waitMs;
		for (;;) {
			const result = this.isDown ? await errAsync<WatchBatch, PlatformError>(unavailable) : await super.watch(kind, revision, 0);
			const isAnswer = result.isErr() || result.value.changes.length > 0 || this.timers.nowMs() >= endMs;
			if (isAnswer && !this.isSilent) {
				return result;
			}

			await this.timers.sleep(50);
		}
	}
}

class Document {
	version = 0;
	content: unknown;
	readonly history: number[] = [];

	offer(version: number, content: unknown): void {
		if (content !== 'invalid') {
			this.version = version;
			this.content = content;
			this.history.push(version);
		}
	}
}

class DocumentFleet {
	readonly fleet = new SimulatedFleet(seed);
	readonly platform = new FaultyPlatform(this.fleet.timers);
	readonly documents = new Map<string, Document>();
	readonly parts = new Map<string, DocumentDissemination>();
	unreachablePeer = '';

	start(hostId: string): DocumentDissemination {
		const {membership} = this.fleet.members.get(hostId)!;
		const inForce = new Document();
		this.documents.set(membership.self().peerAddress, inForce);
		const part = new DocumentDissemination({
			platform: this.platform,
			membership,
			peers: {fetch: async (address, known) => this.#fetch(address, known)},
			inForce,
			timers: this.fleet.timers,
			random: this.fleet.random,
		});
		this.parts.set(hostId, part);
		void part.start();
		return part;
	}

	async startAll(size: number): Promise<void> {
		await this.platform.put('document', 'governing', 'first', 0);
		this.fleet.startAll(size);
		for (const hostId of this.fleet.members.keys()) {
			this.start(hostId);
		}

		await this.fleet.timers.advanceAsync(10_000, 20);
	}

	versions(): number[] {
		return [...new Set([...this.documents.values()].map(document => document.version))];
	}

	confirmedAgoMs(): Array<number | undefined> {
		return [...this.parts.values()].map(part => part.confirmedAgeMs());
	}

	async #fetch(address: string, known: number): Promise<Result<DocumentContent | undefined, unknown>> {
		const document = this.documents.get(address)!;
		await this.fleet.timers.sleep(address === this.unreachablePeer ? 1e9 : 2);
		return ok(document.version > known ? {version: document.version, content: document.content} : undefined);
	}
}

type Case = {name: string; run: (fleet: DocumentFleet, t: Test) => Promise<void>};

const cases: Case[] = [
	{
		name: 'a version reaches only the watchers, or more members than the watchers load the platform',
		async run(fleet, t) {
			const {platform} = fleet;
			t.equal([...fleet.parts.values()].filter(part => part.isWatcher()).length, 8);
			const callsBefore = platform.calls;
			await platform.put('document', 'governing', 'second', 1);
			await fleet.fleet.timers.advanceAsync(2000, 20);
			t.strictSame(fleet.versions(), [2]);
			await fleet.fleet.timers.advanceAsync(18_000, 20);
			t.ok(platform.calls - callsBefore < 8 * 6, `${platform.calls - callsBefore} calls`);
			t.ok(fleet.confirmedAgoMs().every(ageMs => ageMs !== undefined && ageMs < 15_000));
		},
	},
	{
		name: 'an unreachable announcer or a silent watch stops the spread',
		async run(fleet, t) {
			fleet.unreachablePeer = fleet.fleet.memberAt(0).membership.self().peerAddress;
			fleet.platform.isSilent = true;
			await fleet.platform.put('document', 'governing', 'second', 1);
			await fleet.fleet.timers.advanceAsync(20_000, 50);
			t.strictSame(fleet.versions(), [2]);
		},
	},
	{
		name: 'a member that starts while the platform is down has no document, or ages go unreported',
		async run(fleet, t) {
			fleet.platform.isDown = true;
			const {membership} = fleet.fleet.start('late');
			membership.join([fleet.fleet.memberAt(0).transport.address]);
			fleet.start('late');
			await fleet.fleet.timers.advanceAsync(30_000, 50);
			t.strictSame(fleet.versions(), [1]);
			t.ok(fleet.confirmedAgoMs().every(ageMs => ageMs === undefined || ageMs >= 20_000));
		},
	},
	{
		name: 'an invalid or an older version replaces the one in force',
		async run(fleet, t) {
			await fleet.platform.put('document', 'governing', 'invalid', 1);
			await fleet.fleet.timers.advanceAsync(5000, 50);
			t.strictSame(fleet.versions(), [1]);
			await fleet.platform.put('document', 'governing', 'third', 2);
			await fleet.fleet.timers.advanceAsync(5000, 50);
			t.strictSame(fleet.versions(), [3]);
			fleet.platform.list = () => okAsync({
				objects: [{
					kind: 'document' as const, name: 'governing', version: 1, value: 'first',
				}], revision: 9,
			});
			fleet.platform.isDown = true;
			await fleet.fleet.timers.advanceAsync(10_000, 50);
			t.strictSame(fleet.versions(), [3]);
			t.ok([...fleet.documents.values()].every(({history}) => history.every((version, index) => index === 0 || version > history[index - 1]!)));
		},
	},
];

for (const {name, run} of cases) {
	test(`guards against: ${name}`, async t => {
		t.comment(`SEED=${seed}`);
		const fleet = new DocumentFleet();
		await fleet.startAll(24);
		t.strictSame(fleet.versions(), [1]);
		await run(fleet, t);
		for (const part of fleet.parts.values()) {
			part.stop();
		}
	});
}
