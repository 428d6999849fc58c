/** Fields of a log line. Names of measured values end with their unit. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Names of the events that the daemon logs. `docs/OPERATIONS.md` describes when each is written. */
export const eventNames = [
	'process-started',
	'process-ready',
	'process-not-ready',
	'process-stopping',
	'process-stopped',
	'stop-stage-ended',
	'unexpected-error',
	'settings-reloaded',
	'log-lines-dropped',
	'dependency-lost',
	'dependency-restored',
	'watch-lost',
	'watch-restored',
	'store-identified',
	'store-restored',
	'store-object-rejected',
	'configuration-applied',
	'configuration-rejected',
	'endpoint-appeared',
	'endpoint-changed',
	'endpoint-gone',
	'endpoint-entry-rejected',
	'endpoint-unreachable',
	'endpoint-reachable',
	'leader-changed',
	'leader-unknown',
	'connection-share-changed',
	'clock-discontinuity',
	'forwarded-request-failed',
	'request-served',
	'request-refused',
	'request-failed',
	'request-retried',
	'request-moved',
	'session-refused',
	'client-left',
	'promotion-started',
	'promotion-step',
	'promotion-finished',
	'promotion-abandoned',
	'fence-lifted',
	'lease-acquired',
	'lease-released',
	'promotion-record-restored',
	'promotion-term-confirmed',
	'departure-noted',
	'departure-not-noted',
	'host-appeared',
	'host-gone',
	'peer-message-rejected',
	'input-cut',
] as const;

export type EventName = typeof eventNames[number];

/** Structured log of state changes and decisions. Never blocks; may suppress lines over its rate limit. */
export type EventLog = {
	write(event: EventName, fields: EventFields): void;
};
