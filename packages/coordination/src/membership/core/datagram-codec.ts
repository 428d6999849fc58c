import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {BinaryWriter, WireType} from '@bufbuild/protobuf/wire';
import {
	GossipDatagramSchema, type GossipDatagram, GossipMemberSchema, type GossipMember,
} from '@dogwoodthread/protocol';
import {type Member, type MemberState} from '../definitions.js';

/** Fields that every datagram carries about its sender. */
export type DatagramHeader = {
	fromHostId: string;
	fromStartedUnixMs: number;
	documentVersion: number;
	/** Age of the last confirmation that the document version is current; undefined if none is known. */
	documentConfirmedAgeMs: number | undefined;
};

type NonEmptyMessage = Exclude<GossipDatagram['message'], {case: undefined}>;
export type DatagramMessage = NonEmptyMessage;

export type DecodedDatagram = DatagramHeader & {
	message: DatagramMessage;
	updates: Member[];
	/** Entries of an exchange; empty for other messages. */
	members: Member[];
};

const memberStates = new Set<string>(['alive', 'suspect', 'leaving', 'dead'] satisfies MemberState[]);
const updatesField = GossipDatagramSchema.field.updates.number;
// One byte for the tag and up to two for the length.
const fieldOverheadBytes = 3;
// Failure domains and regions repeat in each entry; sharing one string per value saves memory in large tables.
const internedStrings = new Map<string, string>();
const maxInternedStrings = 1000;

const intern = (text: string): string => {
	const known = internedStrings.get(text);
	if (known === undefined && internedStrings.size < maxInternedStrings) {
		internedStrings.set(text, text);
	}

	return known ?? text;
};

export const toWireMember = (member: Member): GossipMember => create(GossipMemberSchema, {
	...member,
	startedUnixMs: BigInt(member.startedUnixMs),
	refutation: BigInt(member.refutation),
	documentVersion: BigInt(member.documentVersion),
});

/** Converts a number of the wire. A larger one would be rounded, and could exceed the range of the wire when it is sent on. */
const toNumber = (value: bigint): number => {
	if (value > BigInt(Number.MAX_SAFE_INTEGER)) {
		throw new RangeError(`Number ${value} of a datagram is too large`);
	}

	return Number(value);
};

const fromWireMember = (wire: GossipMember): Member => {
	const member: Member = {
		hostId: wire.hostId,
		startedUnixMs: toNumber(wire.startedUnixMs),
		refutation: toNumber(wire.refutation),
		state: wire.state as MemberState,
		gossipAddress: wire.gossipAddress,
		peerAddress: wire.peerAddress,
		failureDomain: intern(wire.failureDomain),
		region: intern(wire.region),
		documentVersion: toNumber(wire.documentVersion),
	};
	if (!memberStates.has(member.state) || member.hostId === '') {
		throw new TypeError(`Invalid member entry: state "${member.state}", host "${member.hostId}"`);
	}

	return member;
};

export const encodeMember = (member: Member): Uint8Array => toBinary(GossipMemberSchema, toWireMember(member));

/**
 * Encodes an update. Suspicions, deaths and refutations contain only the identity and the state, a third of the bytes,
 * since they are useful only to members that already have the full entry.
 */
export const encodeUpdate = (member: Member): Uint8Array => encodeMember(member.state === 'suspect' || member.state === 'dead' || member.refutation > 0
	? {
		...member, gossipAddress: '', peerAddress: '', failureDomain: '', region: '', documentVersion: 0,
	}
	: member);

/** Upper bound of the size that an encoded member adds to a datagram. */
export const encodedSizeBytes = (encoded: Uint8Array): number => encoded.length + fieldOverheadBytes;

export const encodeDatagram = (header: DatagramHeader, message: DatagramMessage): Uint8Array => toBinary(GossipDatagramSchema, create(GossipDatagramSchema, {
	message,
	fromHostId: header.fromHostId,
	fromStartedUnixMs: BigInt(header.fromStartedUnixMs),
	documentVersion: BigInt(header.documentVersion),
	// On the wire 0 means unknown, so an age is sent plus 1.
	documentConfirmedAgeMs: header.documentConfirmedAgeMs === undefined ? 0n : BigInt(Math.round(header.documentConfirmedAgeMs) + 1),
}));

/** Appends encoded members as updates; protobuf allows repeated fields to be appended to an encoded message. */
export const appendUpdates = (datagram: Uint8Array, updates: readonly Uint8Array[]): Uint8Array => {
	const writer = new BinaryWriter().raw(datagram);
	for (const update of updates) {
		writer.tag(updatesField, WireType.LengthDelimited).bytes(update);
	}

	return writer.finish();
};

/** Decodes a datagram; throws if it is invalid. */
export const decodeDatagram = (payload: Uint8Array): DecodedDatagram => {
	const wire = fromBinary(GossipDatagramSchema, payload);
	if (wire.message.case === undefined || wire.fromHostId === '') {
		throw new TypeError('Datagram has no known message or no sender');
	}

	return {
		message: wire.message,
		fromHostId: wire.fromHostId,
		fromStartedUnixMs: toNumber(wire.fromStartedUnixMs),
		documentVersion: toNumber(wire.documentVersion),
		documentConfirmedAgeMs: wire.documentConfirmedAgeMs === 0n ? undefined : toNumber(wire.documentConfirmedAgeMs) - 1,
		updates: wire.updates.map(update => fromWireMember(update)),
		members: wire.message.case === 'exchange' ? wire.message.value.members.map(member => fromWireMember(member)) : [],
	};
};
