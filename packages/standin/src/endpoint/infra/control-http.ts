import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {json as readJson} from 'node:stream/consumers';
import {z} from 'zod';
import {type Instance} from './instance.js';

const faultChanges = z.strictObject({
	frozen: z.boolean(),
	cutFromGroup: z.boolean(),
	refuseConnections: z.boolean(),
	answerDelayMs: z.number().min(0),
	crossAnswers: z.boolean(),
	dropMidRows: z.boolean(),
	leaving: z.boolean(),
	replicationDelayMs: z.number().min(0),
	applyLagMs: z.number().min(0),
	/** Connections that stop answering for good, oldest first; not undone by later changes. */
	silentConnections: z.union([z.literal('all'), z.int().min(0)]),
}).partial();

/** Faults, log, rows and figures of an instance, for tests and the load tool. */
export const createControlServer = (instance: Instance): Server => createServer(async (request, response) => {
	try {
		await handle(instance, request, response);
	} catch (error) {
		send(response, 400, {error: error instanceof z.ZodError ? z.prettifyError(error) : String(error)});
	}
});

const handle = async (instance: Instance, request: IncomingMessage, response: ServerResponse): Promise<void> => {
	const {member, faults} = instance;
	switch (`${request.method} ${request.url}`) {
		case 'GET /healthz': {
			send(response, 200, {status: 'ok'});
			break;
		}

		case 'GET /log': {
			send(response, 200, {entries: member.log.entries});
			break;
		}

		case 'GET /rows': {
			send(response, 200, {bookings: member.tables.bookings(), payments: member.tables.allPayments()});
			break;
		}

		case 'GET /stats': {
			send(response, 200, instance.stats());
			break;
		}

		case 'PUT /faults': {
			const {silentConnections, ...changes} = faultChanges.parse(await readJson(request));
			faults.set(changes);
			instance.silence(silentConnections ?? 0);
			send(response, 200, faults.values);
			break;
		}

		default: {
			send(response, 404, {error: `No ${request.method} ${request.url}; see packages/standin/src/endpoint/infra/control-http.ts.`});
		}
	}
};

const send = (response: ServerResponse, status: number, body: unknown): void => {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
};
