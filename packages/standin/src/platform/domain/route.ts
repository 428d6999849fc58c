/** A recognised call. */
export type Route = {
	/** Method and path pattern, the key of the call counts. */
	name: string;
	kind: string;
	objectName: string;
	query: URLSearchParams;
};

const patterns: ReadonlyArray<readonly [method: string, pattern: string, expression: RegExp]> = [
	['GET', '/v1/objects/{kind}/{name}', /^\/v1\/objects\/(?<kind>[\w-]+)\/(?<name>[^/]+)$/],
	['PUT', '/v1/objects/{kind}/{name}', /^\/v1\/objects\/(?<kind>[\w-]+)\/(?<name>[^/]+)$/],
	['DELETE', '/v1/objects/{kind}/{name}', /^\/v1\/objects\/(?<kind>[\w-]+)\/(?<name>[^/]+)$/],
	['GET', '/v1/objects/{kind}', /^\/v1\/objects\/(?<kind>[\w-]+)$/],
	['GET', '/v1/watch/{kind}', /^\/v1\/watch\/(?<kind>[\w-]+)$/],
	['GET', '/v1/hosts', /^\/v1\/hosts$/],
	['PUT', '/v1/hosts', /^\/v1\/hosts$/],
	['GET', '/v1/calls', /^\/v1\/calls$/],
	['GET', '/v1/faults', /^\/v1\/faults$/],
	['PUT', '/v1/faults', /^\/v1\/faults$/],
];

/** Calls of the tests themselves: not counted, delayed or refused. */
export const testSideRoutes: ReadonlySet<string> = new Set(['PUT /v1/hosts', 'GET /v1/calls', 'GET /v1/faults', 'PUT /v1/faults']);

export const writeRoutes: ReadonlySet<string> = new Set(['PUT /v1/objects/{kind}/{name}', 'DELETE /v1/objects/{kind}/{name}']);

/** Gives the route of a call, or undefined if there is none. */
export const matchRoute = (method: string, target: string): Route | undefined => {
	const url = new URL(target, 'http://platform.invalid');
	const found = patterns
		.filter(([patternMethod]) => patternMethod === method)
		.map(([, pattern, expression]) => ({pattern, match: expression.exec(url.pathname)}))
		.find(({match}) => match !== null);
	return found && {
		name: `${method} ${found.pattern}`,
		kind: found.match?.groups?.kind ?? '',
		objectName: decodeURIComponent(found.match?.groups?.name ?? ''),
		query: url.searchParams,
	};
};
