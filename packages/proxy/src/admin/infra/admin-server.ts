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

async function answer({registry, isReady, describeStatus}: AdminServerOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
	switch (request.url) {
		case '/metrics': {
			send(response, 200, registry.contentType, await registry.metrics());
			break;
		}

		case '/healthz': {
			send(response, 200, 'text/plain', 'ok\n');
			break;
		}

		case '/readyz': {
			const ready = isReady();
			send(response, ready ? 200 : 503, 'text/plain', ready ? 'ready\n' : 'not ready\n');
			break;
		}

		case '/status': {
			send(response, 200, 'application/json', JSON.stringify(describeStatus()));
			break;
		}

		case undefined:
		default: {
			send(response, 404, 'text/plain', 'Not found; use /metrics, /healthz, /readyz or /status.\n');
		}
	}
}

function send(response: ServerResponse, status: number, contentType: string, body: string): void {
	response.writeHead(status, {'content-type': contentType});
	response.end(body);
}
