import {
	Code, ConnectError, type ConnectRouter, type HandlerContext, type ServiceImpl,
} from '@connectrpc/connect';
import {EndpointService} from '@dogwoodthread/protocol';
import {type Instance} from './instance.js';
import {MonitorStream} from './monitor-stream.js';
import {type Outbox} from './outbox.js';
import {SessionStream} from './session-stream.js';
import {toWirePosition} from './wire.js';

type Stream<Request, Response> = {
	outbox: Outbox<Response>;
	run(requests: AsyncIterable<Request>): Promise<void>;
	close(reason: string): void;
};

/** The service that proxies call. */
export const endpointRoutes = (instance: Instance) => (router: ConnectRouter): void => {
	const {
		member, timers, faults, settings, log,
	} = instance;

	/** Fault handling and the check of the database, common to all unary calls. */
	const answer = async <Response extends {accepted: boolean}>(call: string, {database, term}: {database: string; term: bigint}, run: () => Response): Promise<Response> => {
		refuseIfAsked(instance);
		await faults.untilThawed();
		if (database !== settings.database) {
			throw new ConnectError(`This is an instance of ${settings.database}; correct the address.`, Code.InvalidArgument);
		}

		const response = run();
		log.info({
			call, term: Number(term), accepted: response.accepted, fencedTerm: member.fencedTerm,
		}, 'Changed or kept the term.');
		await timers.sleep(faults.values.answerDelayMs);
		await faults.untilThawed();
		return response;
	};

	const service: ServiceImpl<typeof EndpointService> = {
		session: (requests, context) => serve(instance, new SessionStream(instance), requests, context),
		monitor: (requests, context) => serve(instance, new MonitorStream(instance), requests, context),
		fence: async request => answer('fence', request, () => ({
			accepted: member.fence(Number(request.term)), fencedTerm: BigInt(member.fencedTerm), last: toWirePosition(member.log.last),
		})),
		promote: async request => answer('promote', request, () => ({
			accepted: member.promote(Number(request.term)), fencedTerm: BigInt(member.fencedTerm), position: toWirePosition(member.log.last),
		})),
		follow: async request => answer('follow', request, () => ({
			accepted: member.follow(Number(request.term), {memberId: request.primaryMemberId, address: request.primaryAddress}),
			fencedTerm: BigInt(member.fencedTerm),
		})),
	};
	router.service(EndpointService, service);
};

const refuseIfAsked = ({faults}: Instance): void => {
	if (faults.values.refuseConnections) {
		throw new ConnectError('Connection refused.', Code.Unavailable);
	}
};

/** Runs a stream; its requests are read while its answers are sent. */
async function * serve<Request, Response>(
	instance: Instance,
	stream: Stream<Request, Response>,
	requests: AsyncIterable<Request>,
	{signal}: HandlerContext,
): AsyncGenerator<Response> {
	refuseIfAsked(instance);
	const close = () => {
		stream.close('the caller went away');
	};

	signal.addEventListener('abort', close);
	try {
		void stream.run(requests);
		yield * stream.outbox.drain();
	} finally {
		signal.removeEventListener('abort', close);
		close();
	}
}
