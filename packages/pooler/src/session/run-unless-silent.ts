import {type TimerService, type TimerSubscription} from '@dogwoodthread/coordination';
import {err} from 'neverthrow';
import {type EndpointCommand} from '../endpoint/index.js';
import {type CommandResult, type HeldConnection, runCommand} from './operation.js';

/** A member that has answered nothing at all for this long is given up, in ms. Long statements do not count while others are answered. */
const giveUpAfterMs = 600;
const checkIntervalMs = 200;

/**
 * As `runCommand`, but gives the command up once the member has answered nothing for a while, instead of waiting for
 * its deadline. Only for commands that may be repeated elsewhere; the connection must be closed after that.
 */
export async function runUnlessSilent(held: HeldConnection, command: EndpointCommand, timeoutMs: number, timers: TimerService): Promise<CommandResult> {
	let check: TimerSubscription | undefined;
	const silence = new Promise<CommandResult>(resolve => {
		check = timers.every(checkIntervalMs, () => {
			if (held.member.silentForMs(timers.nowMs()) > giveUpAfterMs) {
				resolve(err('silent'));
			}
		});
	});
	try {
		return await Promise.race([runCommand(held, command, timeoutMs, timers), silence]);
	} finally {
		check?.cancel();
	}
}
