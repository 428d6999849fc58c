import {type LogPosition, type MemberStatus} from '@dogwoodthread/coordination';
import {type MonitorResponse, type Position} from '@dogwoodthread/protocol';

/** Wire positions have 64 bits, but a log index stays far below 2^53, so the conversion loses nothing. */
export const toLogPosition = (position: Position | undefined): LogPosition => ({
	term: Number(position?.term ?? 0n),
	index: Number(position?.index ?? 0n),
});

export const toMemberStatus = (response: MonitorResponse): MemberStatus => ({
	memberId: response.memberId,
	role: response.role === 'primary' ? 'primary' : 'replica',
	fencedTerm: Number(response.fencedTerm),
	verifiedTerm: Number(response.verifiedTerm),
	received: toLogPosition(response.received),
	applied: toLogPosition(response.applied),
	primaryContact: response.primaryContact,
	leaving: response.leaving,
	slots: response.slots,
	busySlots: response.busySlots,
});
