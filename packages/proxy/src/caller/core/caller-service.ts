import {type ConnectRouter} from '@connectrpc/connect';
import {type SessionTokenCodec, type TimerService} from '@dogwoodthread/coordination';
import {
	CallerService, type ExecuteRequest, type ExecuteResponse, type TransactRequest, type TransactResponse,
} from '@dogwoodthread/protocol';
import {notRun} from '../../outcome/index.js';
import {peekFirst, trackIteration} from '../../peer/index.js';
import {type RequestRouter} from './request-router.js';
import {validateBegin, validateRequest} from './validate-request.js';

/** Called with each finished request, for metrics. */
export type RequestObserver = (request: ExecuteRequest, response: ExecuteResponse, durationMs: number) => void;

export type CallerServiceOptions = {
	router: RequestRouter;
	tokenCodec: SessionTokenCodec;
	timers: TimerService;
	observeRequest: RequestObserver;
	/** Counts the request as in flight until it settles, so that a graceful shutdown waits for it. */
	track: <T>(work: Promise<T>) => Promise<T>;
	/** Whether new requests are refused because the proxy is about to exit. */
	isDraining: () => boolean;
};

/** Implements `CallerService`. */
export class CallerServiceHandler {
	constructor(private readonly options: CallerServiceOptions) {}

	register(router: ConnectRouter): void {
		router.service(CallerService, {
			execute: async request => this.options.track(this.#execute(request)),
			transact: steps => trackIteration(this.#transact(steps), this.options.track),
		});
	}

	async #execute(request: ExecuteRequest): Promise<ExecuteResponse> {
		const {timers, tokenCodec, router, observeRequest, isDraining} = this.options;
		const startMs = timers.nowMs();
		const response = isDraining()
			? notRun('draining', 'The request did not run.', 1)
			: validateRequest(request, tokenCodec) ?? await router.execute(request);
		observeRequest(request, response, timers.nowMs() - startMs);
		return response;
	}

	async * #transact(steps: AsyncIterable<TransactRequest>): AsyncIterable<TransactResponse> {
		const first = await peekFirst(steps);
		const step = first?.value.step;
		const refusal = step?.case === 'begin'
			? validateBegin(step.value) ?? (this.options.isDraining() ? notRun('draining', 'The transaction did not begin.', 1) : undefined)
			: notRun('invalid-request', 'The first step of a transaction must be begin.', 0);
		if (refusal !== undefined || !first || step?.case !== 'begin') {
			yield {
				$typeName: 'dogwoodthread.v1.TransactResponse', stepId: 0n, response: refusal, ended: true,
			};
			return;
		}

		yield * this.options.router.transact(step.value.database, first.all);
	}
}
