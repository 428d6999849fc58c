import {type MessageInitShape} from '@bufbuild/protobuf';
import {
	Access, type EndpointExecute, type Hello, type Position as WirePosition, type RequestKey, type SessionResponseSchema,
} from '@dogwoodthread/protocol';
import {
	type ConnectionIdentity, type Position, type RequestKeyValue, type SessionAnswer, type StatementRequest,
} from '../definitions.js';

/** Largest number of rows in one batch. */
const maxBatchRows = 50;

export type SessionMessage = MessageInitShape<typeof SessionResponseSchema>;

export const toWirePosition = ({term, index}: Position): Omit<WirePosition, '$typeName'> => ({term: BigInt(term), index: BigInt(index)});

export const toIdentity = ({rank, generation, index}: Hello): ConnectionIdentity => ({rank, generation: Number(generation), index});

export const toRequestKey = (requestKey: RequestKey | undefined): RequestKeyValue | undefined =>
	requestKey && {key: requestKey.key, issuedUnixMs: Number(requestKey.issuedUnixMs)};

export const toStatementRequest = ({term, statement, access, requestKey}: EndpointExecute): StatementRequest => ({
	term: Number(term),
	name: statement?.name ?? '',
	parametersJson: statement?.parametersJson ?? '',
	mayWrite: access === Access.WRITE,
	requestKey: toRequestKey(requestKey),
});

/** Messages of an answer: its rows in two batches or more, then the completion. */
export const toMessages = (requestId: bigint, answer: SessionAnswer): SessionMessage[] => {
	if (answer.kind === 'refused') {
		return [{requestId, response: {case: 'refused', value: {code: answer.code, message: answer.message}}}];
	}

	const {answer: {rows, statementError}, position, verifiedTerm, repeated, serviceUs} = answer;
	return [
		...rowBatches(rows).map((batch): SessionMessage => ({
			requestId, response: {case: 'rows', value: {rows: batch.map(json => ({json}))}},
		})),
		{
			requestId,
			response: {
				case: 'completed',
				value: {
					rowCount: rows.length, position: toWirePosition(position), verifiedTerm: BigInt(verifiedTerm), statementError, repeated, serviceUs,
				},
			},
		},
	];
};

const rowBatches = (rows: string[]): string[][] => {
	const size = Math.min(maxBatchRows, Math.max(1, Math.ceil(rows.length / 2)));
	return Array.from({length: Math.ceil(rows.length / size)}, (_, batch) => rows.slice(batch * size, (batch + 1) * size));
};
