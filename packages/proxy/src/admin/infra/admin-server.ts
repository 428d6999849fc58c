import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Registry} from 'prom-client';

export type AdminServerOptions = {
	registry: Registry;
	isReady: () => boolean;
	buildStatus: () => unknown;
};

/** Serves `/metrics`, `/healthz`, `/readyz` and `/status` over HTTP. */
export function createAdminServer(options: AdminServerOptions): Server {
	return createServer((request, response) => {
		void handleRequest(options, request, response);
	});
}

type RouteHandler = (options: AdminServerOptions, response: ServerResponse) => Promise<void> | void;

const routes: Record<string, RouteHandler> = {
	async '/metrics'({registry}, response) {
		sendResponse(response, 200, registry.contentType, await registry.metrics());
	},
	'/healthz'(_options, response) {
		sendResponse(response, 200, 'text/plain', 'ok\n');
	},
	'/readyz'({isReady}, response) {
		const ready = isReady();
		sendResponse(response, ready ? 200 : 503, 'text/plain', ready ? 'ready\n' : 'not ready\n');
	},
	'/status'({buildStatus}, response) {
		sendResponse(response, 200, 'application/json', JSON.stringify(buildStatus()));
	},
};

async function handleRequest(options: AdminServerOptions, {url}: IncomingMessage, response: ServerResponse): Promise<void> {
	const handler = Object.hasOwn(routes, url ?? '') ? routes[url!] : undefined;
	if (handler) {
		await handler(options, response);
	} else {
		sendResponse(response, 404, 'text/plain', `Not found; use ${Object.keys(routes).join(', ')}.\n`);
	}
}

function sendResponse(response: ServerResponse, status: number, contentType: string, body: string): void {
	response.writeHead(status, {'content-type': contentType});
	response.end(body);
}
