import {
	type ConfirmationResult, maxPosition, type SessionToken, zeroPosition,
} from '@dogwoodthread/coordination';
import {type ExecuteResponse} from '@dogwoodthread/protocol';
import {type Completion} from '../../endpoint/index.js';
import {done, unknown} from '../../outcome/index.js';
import {type OwnerOptions} from '../definitions.js';
import {type ExecutionContext} from './execution-context.js';
import {type GroupState, type Instance} from './group-state.js';

/** Delays each response until a majority of the group has the log entries that it reads or writes. */
export class ConfirmationGate {
	constructor(private readonly options: OwnerOptions, private readonly state: GroupState) {}

	/** Waits until the position of a completion is confirmed in the term of the instance that returned it. */
	async waitForConfirmation({position, verifiedTerm}: Completion, deadlineMs: number): Promise<ConfirmationResult> {
		const {timers} = this.options;
		const nowMs = timers.nowMs();
		return this.state.tracker.waitForConfirmation({
			term: verifiedTerm,
			index: position.index,
			nowMs,
			onTimeout(expire) {
				const subscription = timers.after(Math.max(0, deadlineMs - nowMs), expire);
				return () => {
					subscription.cancel();
				};
			},
		});
	}

	/** Waits for a write that completed at the primary to be confirmed, and builds its response. */
	async confirmWrite(completion: Completion, context: ExecutionContext, instance: Instance): Promise<ExecuteResponse> {
		const result = await this.waitForConfirmation(completion, context.deadlineMs);
		if (result === 'confirmed') {
			return this.buildDoneResponse(completion, context.token, instance);
		}

		return unknown(result === 'superseded' ? 'term-changed' : 'confirmation-timeout', context.request.requestKey);
	}

	/** Builds the response with a session token that is never behind the token of the request. */
	buildDoneResponse(completion: Completion, token: SessionToken | undefined, {member, monitor}: Instance): ExecuteResponse {
		const {database, tokenCodec} = this.options;
		const byReplica = this.state.lastPrimary?.member.memberId !== member.memberId;
		const {status} = monitor.health;
		return done({
			rows: completion.rows,
			statementError: completion.statementError,
			sessionToken: tokenCodec.encode({database, ...maxPosition(completion.position, token ?? zeroPosition)}),
			repeated: completion.repeated,
			servedBy: member.memberId,
			byReplica,
			ageBoundMs: byReplica && status ? Math.ceil(this.state.ageBoundMs(status) ?? 0) : 0,
		});
	}
}
