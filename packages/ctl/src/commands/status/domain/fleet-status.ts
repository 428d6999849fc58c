import {
	type AnsweredStatus, type DatabaseRow, type FleetStatus, type OwnedDatabase, type ProxyRow, type ProxyStatus,
} from '../definitions.js';

/** A change takes up to 9 s to be in force on a large fleet; a proxy that lags for less is in order. */
const usualLagMs = 9000;

/** Times in whole seconds, for people. */
const seconds = (ms: number): string => `${Math.round(ms / 1000)} s`;

const when = (holds: boolean, text: string): string[] => holds ? [text] : [];

const documentAttention = ({document: {version, confirmationAgeMs, isStale, damagedVersion}}: ProxyStatus, newest: number): string[] => [
	...when(version === 0, 'no document in force'),
	...when(version > 0 && version < newest && confirmationAgeMs > usualLagMs, `document is behind version ${newest}`),
	...when(version > 0 && isStale, 'document was not confirmed for too long'),
	...when(damagedVersion !== undefined, `document version ${damagedVersion} at the platform is damaged`),
];

const proxyRow = ({address, status, problem}: AnsweredStatus, newest: number): ProxyRow => status
	? {
		address,
		hostId: status.hostId,
		ready: status.ready,
		documentVersion: status.document.version,
		confirmationAgeMs: Math.round(status.document.confirmationAgeMs),
		attention: [...when(!status.ready, 'not ready'), ...documentAttention(status, newest)],
	}
	: {
		address, hostId: '', ready: false, documentVersion: 0, attention: [problem ?? 'no answer'],
	};

type View = OwnedDatabase & {hostId: string};

const promotionAttention = ({promotionFailed}: View): string[] => {
	if (promotionFailed === undefined) {
		return [];
	}

	return promotionFailed === 'platform-unavailable'
		? ['a promotion cannot be agreed because the platform is down']
		: [`the last promotion failed: ${promotionFailed}`];
};

/** Without an answer of every live proxy, the acting owner may be one that was not asked. */
const databaseRow = (views: View[], allAsked: boolean): DatabaseRow => {
	const acting = views.filter(view => view.acting);
	const [view] = [...acting, ...[...views].sort((a, b) => a.rank - b.rank)] as [View];
	const {database, term, primary, primaryLostForMs} = view;
	const unreachable = view.instances.filter(({reachable}) => !reachable).map(({memberId}) => memberId);
	return {
		database,
		actingOwner: acting[0]?.hostId,
		term,
		primary,
		unreachable,
		attention: [
			...when(acting.length === 0 && allAsked, 'no acting owner'),
			...when(acting.length > 1, `several act: ${acting.map(({hostId}) => hostId).join(', ')}`),
			...when(primary === undefined, `no primary${primaryLostForMs === undefined ? '' : ` for ${seconds(primaryLostForMs)}`}`),
			...when(unreachable.length > 0, `unreachable: ${unreachable.join(', ')}`),
			...promotionAttention(view),
		],
	};
};

/** One view of the fleet from the status pages of its proxies. */
export const fleetStatus = (answers: readonly AnsweredStatus[]): FleetStatus => {
	const statuses = answers.flatMap(({status}) => status ?? []);
	const newest = Math.max(0, ...statuses.map(({document}) => document.version));
	const answered = new Set(statuses.map(({hostId}) => hostId));
	const allAsked = statuses.flatMap(({liveHostIds}) => liveHostIds).every(hostId => answered.has(hostId));
	const views = statuses.flatMap(({hostId, databases}) => databases.map(database => ({...database, hostId})));
	const names = [...new Set(views.map(({database}) => database))].sort();
	return {
		proxies: answers.map(answer => proxyRow(answer, newest)),
		databases: names.map(name => databaseRow(views.filter(({database}) => database === name), allAsked)),
	};
};

const table = (rows: string[][]): string => {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
};

const attentionText = (attention: readonly string[]): string => attention.length === 0 ? 'ok' : attention.join('; ');

/** Both tables, with what needs attention in the last column. */
export const fleetText = ({proxies, databases}: FleetStatus): string => [
	table([
		['proxy', 'address', 'ready', 'document', 'confirmed', 'state'],
		...proxies.map(({hostId, address, ready, documentVersion, confirmationAgeMs, attention}) => [
			hostId || '?', address, ready ? 'yes' : 'no', `version ${documentVersion}`, confirmationAgeMs === undefined ? '?' : `${seconds(confirmationAgeMs)} ago`, attentionText(attention),
		]),
	]),
	'',
	databases.length === 0
		? 'No proxy that answered owns a database.'
		: table([
			['database', 'acting owner', 'term', 'primary', 'state'],
			...databases.map(({database, actingOwner, term, primary, attention}) => [database, actingOwner ?? '?', String(term), primary ?? 'none', attentionText(attention)]),
		]),
].join('\n');
