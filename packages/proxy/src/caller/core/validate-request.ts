import {Buffer} from 'node:buffer';
import {type SessionTokenCodec} from '@dogwoodthread/coordination';
import {
	Access, type Begin, type ExecuteRequest, type ExecuteResponse,
} from '@dogwoodthread/protocol';
import {notRun} from '../../outcome/index.js';

const maxTimeoutMs = 600_000;
const maxParameterBytes = 1024 * 1024;
const maxNameLength = 200;

type ValidationRule = [message: string, isViolated: boolean];

const findFirstViolation = (rules: ValidationRule[]): ExecuteResponse | undefined => {
	const violated = rules.find(([, isViolated]) => isViolated);
	return violated && notRun('invalid-request', violated[0], 0);
};

const commonRules = ({database, timeoutMs, callerId}: Pick<ExecuteRequest, 'database' | 'timeoutMs' | 'callerId'>): ValidationRule[] => [
	['database: expected a name.', database === '' || database.length > maxNameLength],
	[`timeout_ms: expected 1 to ${maxTimeoutMs}, seen ${timeoutMs}.`, timeoutMs < 1 || timeoutMs > maxTimeoutMs],
	[`caller_id: expected at most ${maxNameLength} characters.`, callerId.length > maxNameLength],
];

/** Returns the refusal of a malformed request, or undefined if the request is well-formed. */
export function validateRequest(request: ExecuteRequest, tokenCodec: SessionTokenCodec): ExecuteResponse | undefined {
	const {statement, access, requestKey, maxAgeMs, sessionToken, database} = request;
	const refusal = findFirstViolation([
		...commonRules(request),
		['statement: expected a name.', !statement?.name || statement.name.length > maxNameLength],
		[`statement.parameters_json: expected at most ${maxParameterBytes} bytes.`, Buffer.byteLength(statement?.parametersJson ?? '') > maxParameterBytes],
		['access: expected read or write.', access !== Access.READ && access !== Access.WRITE],
		[`request_key.key: expected 1 to ${maxNameLength} characters.`, requestKey !== undefined && (requestKey.key === '' || requestKey.key.length > maxNameLength)],
		['request_key: not used with reads; leave it out.', requestKey !== undefined && access === Access.READ],
		[`max_age_ms: expected 0 or more, seen ${maxAgeMs ?? 0}.`, (maxAgeMs ?? 0) < 0],
	]);
	return refusal ?? (sessionToken === '' ? undefined : validateSessionToken(sessionToken, database, tokenCodec));
}

function validateSessionToken(sessionToken: string, database: string, tokenCodec: SessionTokenCodec): ExecuteResponse | undefined {
	const token = tokenCodec.decode(sessionToken, database);
	return token.isErr() ? notRun(token.error.kind, token.error.message, 0) : undefined;
}

/** Returns the refusal of a malformed first step of a transaction, or undefined if the step is well-formed. */
export const validateBegin = (begin: Begin): ExecuteResponse | undefined => findFirstViolation(commonRules(begin));
