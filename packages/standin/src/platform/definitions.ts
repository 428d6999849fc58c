import {type PlatformHost} from '@dogwoodthread/coordination';
import {type Logger} from 'pino';

/** Largest numbers of calls a second; calls over them are answered with status 429 and have no effect. */
export type CallRates = {reads: number; writes: number};

/** Faults in force, as set with `PUT /v1/faults`. The test side (faults, calls, setting hosts) has none. */
export type PlatformFaults = {
	/** Cuts every connection before the call has an effect, waiting watches included. */
	down: boolean;
	/** Delays each call before it has an effect, in ms. */
	delayMs: number;
	/** The next writes that take effect are not answered; their connection is cut. Counts down. */
	loseAnswers: number;
	/** Watches that arrive or wait are never answered; their connections stay open. */
	stallWatches: boolean;
	/** The list of hosts stays as it was when this was set. */
	hostsFrozen: boolean;
	ratePerSecond?: CallRates;
};

export type PlatformOptions = {
	/** Port on 127.0.0.1; 0 (the default) takes a free one. */
	port?: number;
	/** Hosts that the list starts with. */
	hosts?: PlatformHost[];
	logger?: Logger;
};

/** A platform stand-in that serves. Objects are in memory and end with it. */
export type RunningPlatform = {
	/** `127.0.0.1:port`. */
	readonly address: string;
	/** `http://127.0.0.1:port`. */
	readonly url: string;
	/** Same as `PUT /v1/faults`: fields that are left out have no fault. */
	setFaults(faults: Partial<PlatformFaults>): void;
	/** Same as `PUT /v1/hosts`. */
	setHosts(hosts: PlatformHost[]): void;
	/** Calls since the start by method and route; same as `GET /v1/calls`. */
	calls(): Record<string, number>;
	close(): Promise<void>;
};
