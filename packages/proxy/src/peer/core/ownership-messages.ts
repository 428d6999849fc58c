import {create} from '@bufbuild/protobuf';
import {
	type GroupRecord, type OwnerSeat, parseGroupRecord, type VersionedOwnership,
} from '@dogwoodthread/coordination';
import {type GetOwnershipResponse, GetOwnershipResponseSchema, type OwnerRank} from '@dogwoodthread/protocol';
import {type PeerOwnership} from '../../directory/index.js';

const toSeat = ({rank, generation, hostId, startedUnixMs, peerAddress, failureDomain}: OwnerRank): OwnerSeat => ({
	rank, generation: Number(generation), hostId, startedUnixMs: Number(startedUnixMs), peerAddress, failureDomain,
});

export function toOwnershipMessage(database: string, ownership: VersionedOwnership | undefined, group: GroupRecord | undefined): GetOwnershipResponse {
	return create(GetOwnershipResponseSchema, {
		database,
		found: ownership !== undefined,
		version: BigInt(ownership?.version ?? 0),
		changeId: ownership?.record.changeId,
		ranks: ownership?.record.seats.map(seat => ({
			...seat, generation: BigInt(seat.generation), startedUnixMs: BigInt(seat.startedUnixMs),
		})),
		groupRecordJson: group ? JSON.stringify(group) : '',
	});
}

export function fromOwnershipMessage(message: GetOwnershipResponse): PeerOwnership {
	const {database, found, version, changeId, ranks, groupRecordJson} = message;
	return {
		ownership: found ? {version: Number(version), record: {database, changeId, seats: ranks.map(rank => toSeat(rank))}} : undefined,
		group: parseGroupRecord(parseJson(groupRecordJson)).unwrapOr(undefined),
	};
}

/** Undefined if the text is not valid JSON, or empty. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
