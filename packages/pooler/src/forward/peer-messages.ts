import * as z from 'zod';
import {type ForwardReply, type ForwardRequest} from './definitions.js';

const positionSchema = z.looseObject({term: z.number(), index: z.number()});
const clockSchema = z.looseObject({timeMs: z.number(), epoch: z.number()});
const accessSchema = z.enum(['read', 'write']);

const statementSchema = z.looseObject({
	requestId: z.string(),
	service: z.string(),
	consistency: z.enum(['primary', 'bounded-staleness', 'read-your-writes']),
	maxStalenessMs: z.number(),
	priority: z.number(),
	latencyObjectiveMs: z.number(),
	leftMs: z.number(),
	values: z.array(z.tuple([z.string(), z.string()])),
	committed: positionSchema.optional(),
	mayWait: z.boolean().optional(),
});

const commandSchema = z.discriminatedUnion('kind', [
	z.looseObject({kind: z.enum(['read', 'write']), id: z.string(), text: z.string()}),
	z.looseObject({
		kind: z.literal('execute'), id: z.string(), name: z.string(), argument: z.string(),
	}),
]);

const callFields = {call: z.number(), sentAt: clockSchema, statement: statementSchema};
const transactionFields = {
	transaction: z.number(), isFirst: z.boolean(), begin: z.looseObject({id: z.string(), readOnly: z.boolean()}),
};
const bodyFields = {
	command: commandSchema,
	prepared: z.looseObject({access: accessSchema, shape: z.string(), sharedName: z.string()}).optional(),
	isWrite: z.boolean(),
};

/** A name alone does not say what it stands for: the holder knows statements by their shapes. */
const hasStatement = ({command, prepared}: {command: {kind: string}; prepared?: unknown}): boolean => command.kind !== 'execute' || prepared !== undefined;

const requestSchema = z.discriminatedUnion('kind', [
	z.looseObject({kind: z.literal('single'), ...callFields, ...bodyFields}).refine(hasStatement),
	z.looseObject({
		kind: z.literal('transaction'), ...callFields, ...transactionFields, ...bodyFields,
	}).refine(hasStatement),
	z.looseObject({kind: z.literal('commit'), ...callFields, ...transactionFields}),
	z.looseObject({kind: z.literal('abort'), transaction: z.number()}),
	z.looseObject({kind: z.literal('ping')}),
]);

const answerSchema = z.looseObject({
	rows: z.array(z.string()),
	signature: z.string().optional(),
	error: z.looseObject({code: z.string(), text: z.string()}).optional(),
	transaction: z.enum(['idle', 'open', 'failed']),
	position: positionSchema.optional(),
});

const replySchema = z.union([
	z.looseObject({
		kind: z.literal('answer'), clock: clockSchema, call: z.number(), answer: answerSchema,
	}),
	z.looseObject({
		kind: z.literal('answer'), clock: clockSchema, call: z.number(), failure: z.looseObject({code: z.string(), reason: z.string(), text: z.string()}),
	}),
	z.looseObject({kind: z.literal('leaving')}),
	z.looseObject({kind: z.literal('clock'), clock: clockSchema}),
]);

/** The message if it is a valid request; undefined otherwise. Unknown fields are allowed, since a newer host may send them. */
export const parseRequest = (message: unknown): ForwardRequest | undefined =>
	requestSchema.safeParse(message).success ? message as ForwardRequest : undefined;

/** The message if it is a valid reply; undefined otherwise. */
export const parseReply = (message: unknown): ForwardReply | undefined =>
	replySchema.safeParse(message).success ? message as ForwardReply : undefined;
