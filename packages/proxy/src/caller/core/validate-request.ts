import {Buffer} from 'node:buffer';
import {type SessionTokenCodec} from '@dogwoodthread/coordination';
import {
	Access, type Begin, type ExecuteRequest, type ExecuteResponse,
} from '@dogwoodthread/protocol';
import {notRun} from '../../outcome/index.js';

const maxTimeoutMs = 600_000;
const maxParameterBytes = 1024 * 1024;
const maxNameLength = 200;

type Rule = [problem: string, applies: boolean];

const firstProblem = (rules: Rule[]): ExecuteResponse | undefined => {
	const broken = rules.find(([, applies]) => applies);
	return broken && notRun('invalid-request', broken[0], 0);
};

const commonRules = ({database, timeoutMs, callerId}: Pick<ExecuteRequest, 'database' | 'timeoutMs' | 'callerId'>): Rule[] => [
	['database: expected a name.', database === '' || database.length > maxNameLength],
	[`timeout_ms: expected 1 to ${maxTimeoutMs}, seen ${timeoutMs}.`, timeoutMs < 1 || timeoutMs > maxTimeoutMs],
	[`caller_id: expected at most ${maxNameLength} characters.`, callerId.length > maxNameLength],
];

/** The refusal of a request that is malformed; undefined if it is well-formed. */
export function validateRequest(request: ExecuteRequest, tokens: SessionTokenCodec): ExecuteResponse | undefined {
	const {statement, access, requestKey, maxAgeMs, sessionToken, database} = request;
	const problem = firstProblem([
		...commonRules(request),
		['statement: expected a name.', !statement?.name || statement.name.length > maxNameLength],
		[`statement.parameters_json: expected at most ${maxParameterBytes} bytes.`, Buffer.byteLength(statement?.parametersJson ?? '') > maxParameterBytes],
		['access: expected read or write.', access !== Access.READ && access !== Access.WRITE],
		[`request_key.key: expected 1 to ${maxNameLength} characters.`, requestKey !== undefined && (requestKey.key === '' || requestKey.key.length > maxNameLength)],
		['request_key: not used with reads; leave it out.', requestKey !== undefined && access === Access.READ],
		[`max_age_ms: expected 0 or more, seen ${maxAgeMs ?? 0}.`, (maxAgeMs ?? 0) < 0],
	]);
	return problem ?? (sessionToken === '' ? undefined : checkToken(sessionToken, database, tokens));
}

function checkToken(sessionToken: string, database: string, tokens: SessionTokenCodec): ExecuteResponse | undefined {
	const token = tokens.decode(sessionToken, database);
	return token.isErr() ? notRun(token.error.kind, token.error.message, 0) : undefined;
}

/** The refusal of the first step of a transaction that is malformed. */
export const validateBegin = (begin: Begin): ExecuteResponse | undefined => firstProblem(commonRules(begin));
