import {
	type StatusAnswer, type DatabaseRow, type FleetStatus, type OwnedDatabase, type ProxyRow, type ProxyStatus,
} from '../definitions.js';

/** A change takes up to 9 s to be in force on a large fleet, so a proxy that lags no longer than that needs no attention. */
const maxNormalLagMs = 9000;

const formatSeconds = (ms: number): string => `${Math.round(ms / 1000)} s`;

const textIf = (condition: boolean, text: string): string[] => condition ? [text] : [];

const findDocumentAttention = ({document: {version, confirmationAgeMs, isStale, damagedVersion}}: ProxyStatus, newestVersion: number): string[] => [
	...textIf(version === 0, 'no document in force'),
	...textIf(version > 0 && version < newestVersion && confirmationAgeMs > maxNormalLagMs, `document is behind version ${newestVersion}`),
	...textIf(version > 0 && isStale, 'document was not confirmed for too long'),
	...textIf(damagedVersion !== undefined, `document version ${damagedVersion} at the platform is damaged`),
];

const buildProxyRow = ({address, status, problem}: StatusAnswer, newestVersion: number): ProxyRow => status
	? {
		address,
		hostId: status.hostId,
		ready: status.ready,
		documentVersion: status.document.version,
		confirmationAgeMs: Math.round(status.document.confirmationAgeMs),
		attention: [...textIf(!status.ready, 'not ready'), ...findDocumentAttention(status, newestVersion)],
	}
	: {
		address, hostId: '', ready: false, documentVersion: 0, attention: [problem ?? 'no answer'],
	};

type OwnerView = OwnedDatabase & {hostId: string};

const findPromotionAttention = ({promotionFailed}: OwnerView): string[] => {
	if (promotionFailed === undefined) {
		return [];
	}

	return promotionFailed === 'platform-unavailable'
		? ['a promotion cannot be agreed because the platform is down']
		: [`the last promotion failed: ${promotionFailed}`];
};

/** A missing acting owner is reported only if every live proxy answered, because it may be one that did not. */
const buildDatabaseRow = (views: OwnerView[], hasAllAnswers: boolean): DatabaseRow => {
	const acting = views.filter(view => view.acting);
	const [view] = [...acting, ...[...views].sort((a, b) => a.rank - b.rank)] as [OwnerView];
	const {database, term, primary, primaryLostForMs} = view;
	const unreachable = view.instances.filter(({reachable}) => !reachable).map(({memberId}) => memberId);
	return {
		database,
		actingOwner: acting[0]?.hostId,
		term,
		primary,
		unreachable,
		attention: [
			...textIf(acting.length === 0 && hasAllAnswers, 'no acting owner'),
			...textIf(acting.length > 1, `several act: ${acting.map(({hostId}) => hostId).join(', ')}`),
			...textIf(primary === undefined, `no primary${primaryLostForMs === undefined ? '' : ` for ${formatSeconds(primaryLostForMs)}`}`),
			...textIf(unreachable.length > 0, `unreachable: ${unreachable.join(', ')}`),
			...findPromotionAttention(view),
		],
	};
};

/** Combines the status pages of the proxies into the state of the fleet. */
export const buildFleetStatus = (answers: readonly StatusAnswer[]): FleetStatus => {
	const statuses = answers.flatMap(({status}) => status ?? []);
	const newestVersion = Math.max(0, ...statuses.map(({document}) => document.version));
	const answeredHostIds = new Set(statuses.map(({hostId}) => hostId));
	const hasAllAnswers = statuses.flatMap(({liveHostIds}) => liveHostIds).every(hostId => answeredHostIds.has(hostId));
	const views = statuses.flatMap(({hostId, databases}) => databases.map(database => ({...database, hostId})));
	const databaseNames = [...new Set(views.map(({database}) => database))].sort();
	return {
		proxies: answers.map(answer => buildProxyRow(answer, newestVersion)),
		databases: databaseNames.map(name => buildDatabaseRow(views.filter(({database}) => database === name), hasAllAnswers)),
	};
};

const formatTable = (rows: string[][]): string => {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
	return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
};

const formatAttention = (attention: readonly string[]): string => attention.length === 0 ? 'ok' : attention.join('; ');

/** Formats the tables of proxies and databases; the last column shows what needs attention. */
export const formatFleetStatus = ({proxies, databases}: FleetStatus): string => [
	formatTable([
		['proxy', 'address', 'ready', 'document', 'confirmed', 'state'],
		...proxies.map(({hostId, address, ready, documentVersion, confirmationAgeMs, attention}) => [
			hostId || '?', address, ready ? 'yes' : 'no', `version ${documentVersion}`, confirmationAgeMs === undefined ? '?' : `${formatSeconds(confirmationAgeMs)} ago`, formatAttention(attention),
		]),
	]),
	'',
	databases.length === 0
		? 'No proxy that answered owns a database.'
		: formatTable([
			['database', 'acting owner', 'term', 'primary', 'state'],
			...databases.map(({database, actingOwner, term, primary, attention}) => [database, actingOwner ?? '?', String(term), primary ?? 'none', formatAttention(attention)]),
		]),
].join('\n');
