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

/** Platform on simulated time that can be unavailable, or never answer watches. */
class FaultyPlatform extends MemoryPlatform {
	isDown = false;
	isSilent = false;
	callCount = 0;

	constructor(private readonly timers: ManualTimerService) {
		super();
	}

	override list(kind: ObjectKind) {
		this.callCount += 1;
		return this.isDown ? errAsync(unavailable) : super.list(kind);
	}

	override watch(kind: ObjectKind, revision: number, waitMs: number): ResultAsync<WatchBatch, PlatformError> {
		this.callCount += 1;
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

class RecordingReceiver {
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
	readonly receiversByAddress = new Map<string, RecordingReceiver>();
	readonly disseminations = new Map<string, DocumentDissemination>();
	unreachablePeerAddress = '';

	start(hostId: string): DocumentDissemination {
		const {membership} = this.fleet.members.get(hostId)!;
		const documentReceiver = new RecordingReceiver();
		this.receiversByAddress.set(membership.self().peerAddress, documentReceiver);
		const dissemination = new DocumentDissemination({
			platform: this.platform,
			membership,
			peers: {fetch: async (address, knownVersion) => this.#fetch(address, knownVersion)},
			documentReceiver,
			timers: this.fleet.timers,
			random: this.fleet.random,
		});
		this.disseminations.set(hostId, dissemination);
		void dissemination.start();
		return dissemination;
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
		return [...new Set([...this.receiversByAddress.values()].map(receiver => receiver.version))];
	}

	confirmedAgesMs(): Array<number | undefined> {
		return [...this.disseminations.values()].map(dissemination => dissemination.confirmedAgeMs());
	}

	async #fetch(address: string, knownVersion: number): Promise<Result<DocumentContent | undefined, unknown>> {
		const document = this.receiversByAddress.get(address)!;
		await this.fleet.timers.sleep(address === this.unreachablePeerAddress ? 1e9 : 2);
		return ok(document.version > knownVersion ? {version: document.version, content: document.content} : undefined);
	}
}

type Case = {name: string; run: (fleet: DocumentFleet, t: Test) => Promise<void>};

const cases: Case[] = [
	{
		name: 'a version reaches only the watchers, or members other than the watchers call the platform',
		async run(fleet, t) {
			const {platform} = fleet;
			t.equal([...fleet.disseminations.values()].filter(dissemination => dissemination.isWatcher()).length, 8);
			const callsBefore = platform.callCount;
			await platform.put('document', 'governing', 'second', 1);
			await fleet.fleet.timers.advanceAsync(2000, 20);
			t.strictSame(fleet.versions(), [2]);
			await fleet.fleet.timers.advanceAsync(18_000, 20);
			t.ok(platform.callCount - callsBefore < 8 * 6, `${platform.callCount - callsBefore} calls`);
			t.ok(fleet.confirmedAgesMs().every(ageMs => ageMs !== undefined && ageMs < 15_000));
		},
	},
	{
		name: 'an unreachable announcer or an unanswered watch stops the dissemination',
		async run(fleet, t) {
			fleet.unreachablePeerAddress = fleet.fleet.memberAt(0).membership.self().peerAddress;
			fleet.platform.isSilent = true;
			await fleet.platform.put('document', 'governing', 'second', 1);
			await fleet.fleet.timers.advanceAsync(20_000, 50);
			t.strictSame(fleet.versions(), [2]);
		},
	},
	{
		name: 'a member that starts while the platform is down gets no document, or confirmation ages do not grow',
		async run(fleet, t) {
			fleet.platform.isDown = true;
			const {membership} = fleet.fleet.start('late');
			membership.join([fleet.fleet.memberAt(0).transport.address]);
			fleet.start('late');
			await fleet.fleet.timers.advanceAsync(30_000, 50);
			t.strictSame(fleet.versions(), [1]);
			t.ok(fleet.confirmedAgesMs().every(ageMs => ageMs === undefined || ageMs >= 20_000));
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
			t.ok([...fleet.receiversByAddress.values()].every(({history}) => history.every((version, index) => index === 0 || version > history[index - 1]!)));
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
		for (const dissemination of fleet.disseminations.values()) {
			dissemination.stop();
		}
	});
}
