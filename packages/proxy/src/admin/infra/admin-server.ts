import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Registry} from 'prom-client';

export type AdminServerOptions = {
	registry: Registry;
	isReady: () => boolean;
	describeStatus: () => unknown;
};

/** Serves `/metrics`, `/healthz`, `/readyz` and `/status` over HTTP. */
export function createAdminServer(options: AdminServerOptions): Server {
	return createServer((request, response) => {
		void answer(options, request, response);
	});
}

type Page = (options: AdminServerOptions, response: ServerResponse) => Promise<void> | void;

const pages: Record<string, Page> = {
	async '/metrics'({registry}, response) {
		send(response, 200, registry.contentType, await registry.metrics());
	},
	'/healthz'(_options, response) {
		send(response, 200, 'text/plain', 'ok\n');
	},
	'/readyz'({isReady}, response) {
		const ready = isReady();
		send(response, ready ? 200 : 503, 'text/plain', ready ? 'ready\n' : 'not ready\n');
	},
	'/status'({describeStatus}, response) {
		send(response, 200, 'application/json', JSON.stringify(describeStatus()));
	},
};

async function answer(options: AdminServerOptions, {url}: IncomingMessage, response: ServerResponse): Promise<void> {
	const page = Object.hasOwn(pages, url ?? '') ? pages[url!] : undefined;
	if (page) {
		await page(options, response);
	} else {
		send(response, 404, 'text/plain', `Not found; use ${Object.keys(pages).join(', ')}.\n`);
	}
}

function send(response: ServerResponse, status: number, contentType: string, body: string): void {
	response.writeHead(status, {'content-type': contentType});
	response.end(body);
}
