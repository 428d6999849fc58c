import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {LineClient, TextClient} from '@dogwoodthread/platform/standin';
import {type SeededRandom} from '../../workload/index.js';
import {type FuzzPlayer, type FuzzTarget} from '../definitions.js';

const statementsPerRound = 60;
const invalidTextsPerRound = 30;
const noiseConnectionsPerRound = 10;
const maxNoiseBytes = 20_000;
const highestByte = 255;
/** How long a connection that was sent noise may stay open; a host may wait for the rest of a message. */
const noiseTimeoutMs = 1500;
const largeTextBytes = 200_000;
const largeStatementsPerRound = 1100;
const shortSessionsPerRound = 150;
const shortSessionStatements = 10;
const shortSessionTextBytes = 60_000;

const noise = (random: SeededRandom): Buffer => Buffer.from(Array.from({length: random.int(1, maxNoiseBytes)}, () => random.int(0, highestByte)));

/** Opens a connection and waits for its end, for a limited time. */
async function withSocket(port: number, use: (socket: Socket) => void): Promise<void> {
	await new Promise<void>(resolve => {
		const socket = connect({port, host: '127.0.0.1'});
		socket.on('error', () => undefined);
		socket.resume();
		socket.setTimeout(noiseTimeoutMs, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			resolve();
		});
		use(socket);
	});
}

async function sendBytes(port: number, chunks: ReadonlyArray<Buffer | string>): Promise<void> {
	await withSocket(port, socket => {
		for (const chunk of chunks) {
			socket.write(chunk, 'latin1');
		}
	});
}

type Clock = {timeMs: number; epoch: number};

/** Sends messages that carry a reading of the host's clock, which its first message has: without it they count as late. */
async function sendToPeer(port: number, createMessages: (clock: Clock) => ReadonlyArray<Buffer | string>): Promise<void> {
	await withSocket(port, socket => {
		socket.once('data', (greeting: Buffer) => {
			const {clock} = JSON.parse(greeting.toString().split('\n')[0]!) as {clock: Clock};
			for (const message of createMessages(clock)) {
				socket.write(message);
			}
		});
	});
}

/** Sends generated statements in a session and hands over what the instances have to run. */
class TextPlayer implements FuzzPlayer {
	get name(): string {
		return 'text';
	}

	async play({ports, database, nextNumber, recordSent}: FuzzTarget): Promise<void> {
		const client = new TextClient(ports.clients, nextNumber());
		await client.run(database, statementsPerRound);
		recordSent(client.sent);
	}
}

class InvalidTextPlayer implements FuzzPlayer {
	get name(): string {
		return 'invalid-text';
	}

	async play({ports, database, nextNumber, invalidTexts, report}: FuzzTarget): Promise<void> {
		const client = new LineClient(ports.clients);
		await client.startSession(database);
		const prefix = `bad-${nextNumber()}`;
		for (let number = 0; number < invalidTextsPerRound && !client.isClosed; number += 1) {
			const text = invalidTexts.next();
			const reply = await client.run(`${prefix}-${number}`, text);
			if (reply.kind === 'done') {
				report('accepted-invalid', JSON.stringify(text));
			}

			if (reply.kind !== 'lost' && reply.transaction !== 'idle') {
				await client.rollback(`${prefix}-${number}-rollback`);
			}
		}

		client.destroy();
	}
}

class ClientNoisePlayer implements FuzzPlayer {
	get name(): string {
		return 'client-bytes';
	}

	async play({random, ports, database}: FuzzTarget): Promise<void> {
		const openings = ['', `STARTUP ${database} u1\r\n`, `STARTUP ${database} u1\r\nQUERY q1 `, `STARTUP ${database} u1\r\nQUERY q1 BEGIN\r\n`];
		await Promise.all(Array.from({length: noiseConnectionsPerRound}, async () => sendBytes(ports.clients, [random.pick(openings)!, noise(random), '\r\n', noise(random)])));
	}
}

/** Sends many large statements of one kind in one session. The host may refuse them, but not end. */
class LargeSessionPlayer implements FuzzPlayer {
	constructor(readonly name: string, private readonly format: (number: number, text: string) => string) {}

	async play({ports, database, nextNumber, isOver}: FuzzTarget): Promise<void> {
		const client = new LineClient(ports.clients);
		await client.startSession(database);
		const id = `large-${nextNumber()}`;
		const text = 'x'.repeat(largeTextBytes);
		for (let number = 0; number < largeStatementsPerRound && !client.isClosed && !isOver(); number += 1) {
			await client.run(id, this.format(number, `${number}${text}`));
		}

		client.destroy();
	}
}

class ShortSessionsPlayer implements FuzzPlayer {
	get name(): string {
		return 'short-sessions';
	}

	async play({ports, database, nextNumber, isOver}: FuzzTarget): Promise<void> {
		for (let session = 0; session < shortSessionsPerRound && !isOver(); session += 1) {
			const client = new LineClient(ports.clients);
			const opened = await client.startSession(database);
			if (opened.kind !== 'done') {
				client.destroy();
				return;
			}

			for (let number = 0; number < shortSessionStatements; number += 1) {
				const id = `large-${nextNumber()}`;
				await client.prepare(id, 's1', 'read', `${id}${'y'.repeat(shortSessionTextBytes)}`);
				await client.execute(id, 's1', '7a');
			}

			client.destroy();
		}
	}
}

const validPeerMessages = (id: string, sentAt: Clock): unknown[] => {
	const statement = {
		requestId: id, service: 'ledger', consistency: 'primary', maxStalenessMs: 0, priority: 1, latencyObjectiveMs: 400, leftMs: 500, values: [['tz', 'EAT']],
	};
	const header = {call: 1, sentAt, statement};
	const transaction = {transaction: 1, isFirst: true, begin: {id, readOnly: false}};
	const read = {command: {kind: 'read', id, text: 'READ item-1'}, isWrite: false};
	const prepared = {access: 'read', shape: 'q0', sharedName: 'r_q0'};
	return [
		{kind: 'ping'},
		{kind: 'single', ...header, ...read},
		{
			kind: 'single', ...header, command: {
				kind: 'execute', id, name: 'r_q0', argument: '7a',
			}, prepared, isWrite: false,
		},
		{
			kind: 'transaction', ...header, ...transaction, ...read,
		},
		{kind: 'commit', ...header, ...transaction},
		{kind: 'abort', transaction: 1},
	];
};

const oddValues: readonly unknown[] = [null, -1, 1e300, '', '__proto__', 'a b', 'a\r\nQUERY - STATUS', 'x\ny', {}, [], true, 'z'.repeat(100_000)];

/** Replaces one value somewhere in a JSON text. */
function mutateJson(random: SeededRandom, message: unknown): string {
	let remaining = random.int(0, 12);
	return JSON.stringify(message, (_key, value: unknown) => {
		remaining -= 1;
		return remaining === 0 ? random.pick(oddValues) : value;
	}) ?? 'null';
}

/** Cuts a part out of a text, or puts a random character into it. */
function mutateText(random: SeededRandom, text: string): string {
	const at = random.int(0, text.length);
	return random.fraction() < 1 / 2
		? text.slice(0, at) + text.slice(at + random.int(1, 5))
		: text.slice(0, at) + String.fromCodePoint(random.int(0, highestByte)) + text.slice(at);
}

class PeerPlayer implements FuzzPlayer {
	get name(): string {
		return 'peer-messages';
	}

	async play({random, ports, nextNumber}: FuzzTarget): Promise<void> {
		await Promise.all(Array.from({length: noiseConnectionsPerRound}, async () => sendToPeer(ports.peers, clock => {
			const valid = validPeerMessages(`peer-${nextNumber()}`, clock);
			const first = JSON.stringify(random.pick(valid));
			const second = mutateJson(random, random.pick(valid));
			const last = random.fraction() < 1 / 3 ? mutateText(random, second) : second;
			return random.fraction() < 1 / 10 ? [noise(random), '\n'] : [`${first}\n${last}\n`];
		})));
	}
}

class StoreAnswerPlayer implements FuzzPlayer {
	get name(): string {
		return 'store-answers';
	}

	async play(target: FuzzTarget): Promise<void> {
		const {random} = target;
		await target.withStoreAnswers(answer => {
			const mutated = mutateJson(random, answer);
			return random.fraction() < 1 / 2 ? Buffer.from(mutateText(random, mutated)) : JSON.parse(mutated) as unknown;
		}, async () => new TextPlayer().play(target));
	}
}

class InstanceAnswerPlayer implements FuzzPlayer {
	get name(): string {
		return 'instance-answers';
	}

	async play(target: FuzzTarget): Promise<void> {
		const {random} = target;
		const replacements: ReadonlyArray<(answer: string) => string> = [
			answer => answer.slice(0, random.int(0, answer.length)),
			answer => mutateText(random, answer),
			answer => noise(random).toString('latin1') + answer,
			answer => answer.replace('READY', 'READY Q'),
			answer => `DATAROW ${'r'.repeat(random.int(1, 2_000_000))}\r\n${answer}`,
		];
		await target.withInstanceAnswers(answer => random.fraction() < 1 / 10 ? random.pick(replacements)!(answer) : answer, async () => new TextPlayer().play(target));
	}
}

/** Text twice: a usual client is the most likely to notice what the others have done. */
export const fuzzPlayers: readonly FuzzPlayer[] = [
	new TextPlayer(),
	new TextPlayer(),
	new InvalidTextPlayer(),
	new ClientNoisePlayer(),
	new LargeSessionPlayer('large-prepares', (number, text) => `PREPARE s${number} READ ${text}`),
	new LargeSessionPlayer('large-values', (number, text) => `SET s${number} ${text}`),
	new ShortSessionsPlayer(),
	new PeerPlayer(),
	new StoreAnswerPlayer(),
	new InstanceAnswerPlayer(),
];
