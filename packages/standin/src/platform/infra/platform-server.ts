import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {maxValueBytes, SystemTimerService} from '@dogwoodthread/coordination';
import {type Logger, pino} from 'pino';
import {type Answer, PlatformService} from '../core/platform-service.js';
import {type PlatformOptions, type RunningPlatform} from '../definitions.js';
import {faultsSchema} from '../domain/faults.js';
import {hostsSchema} from '../domain/hosts.js';
import {matchRoute, type Route, testSideRoutes} from '../domain/route.js';

/** Bodies over this size are cut off; the limit of values is checked after parsing. */
const maxBodyBytes = 4 * maxValueBytes;

const readBody = async (request: IncomingMessage): Promise<unknown> => {
	const chunks: Buffer[] = [];
	let sizeBytes = 0;
	for await (const chunk of request as AsyncIterable<Buffer>) {
		sizeBytes += chunk.length;
		if (sizeBytes > maxBodyBytes) {
			throw new RangeError('The body is over the limit.');
		}

		chunks.push(chunk);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
	} catch {
		return undefined;
	}
};

const send = (response: ServerResponse, answer: Answer): void => {
	if (answer.kind === 'cut') {
		response.destroy();
	} else if (answer.kind === 'answer') {
		response.writeHead(answer.status, {
			'content-type': 'application/json',
			...(answer.etag && {etag: answer.etag}),
			...(answer.retryAfterSeconds && {'retry-after': String(answer.retryAfterSeconds)}),
		});
		response.end(JSON.stringify(answer.body));
	}
};

const handleTestSide = (service: PlatformService, route: Route, body: unknown): Answer => {
	switch (route.name) {
		case 'PUT /v1/hosts': {
			const hosts = hostsSchema.safeParse(body);
			if (!hosts.success) {
				return {kind: 'answer', status: 400, body: {kind: 'bad-request', message: hosts.error.message}};
			}

			service.setHosts(hosts.data);
			return {kind: 'answer', status: 200, body: {hosts: hosts.data}};
		}

		case 'PUT /v1/faults': {
			const faults = faultsSchema.safeParse(body);
			if (!faults.success) {
				return {kind: 'answer', status: 400, body: {kind: 'bad-request', message: faults.error.message}};
			}

			service.setFaults(faults.data);
			return {kind: 'answer', status: 200, body: service.faults};
		}

		case 'GET /v1/faults': {
			return {kind: 'answer', status: 200, body: service.faults};
		}

		default: {
			return {kind: 'answer', status: 200, body: {calls: Object.fromEntries(service.calls)}};
		}
	}
};

const answerCall = async (service: PlatformService, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const route = matchRoute(request.method ?? '', request.url ?? '');
	if (!route) {
		send(response, {kind: 'answer', status: 404, body: {kind: 'bad-request', message: `No route ${request.method} ${request.url}.`}});
		return;
	}

	const body = await readBody(request);
	send(response, testSideRoutes.has(route.name)
		? handleTestSide(service, route, body)
		: await service.handle({
			route, body, ifMatch: request.headers['if-match'], ifNoneMatch: request.headers['if-none-match'],
		}));
};

const serve = async (service: PlatformService, logger: Logger, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	try {
		await answerCall(service, request, response);
	} catch (error) {
		logger.warn({error, method: request.method, url: request.url}, 'call failed');
		response.destroy();
	}
};

/** Starts a platform stand-in on a loopback address. */
export const startPlatform = async (options: PlatformOptions = {}): Promise<RunningPlatform> => {
	const logger = options.logger ?? pino({level: 'silent'});
	const timers = new SystemTimerService();
	const service = new PlatformService({timers, hosts: options.hosts});
	const server = createServer((request, response) => {
		void serve(service, logger, request, response);
	});
	server.listen(options.port ?? 0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	logger.info({address}, 'platform stand-in serves');
	return {
		address,
		url: `http://${address}`,
		setFaults(faults) {
			service.setFaults(faultsSchema.parse(faults));
		},
		setHosts(hosts) {
			service.setHosts(hosts);
		},
		calls: () => Object.fromEntries(service.calls),
		async close() {
			service.close();
			timers.close();
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
};
