export const formatRate = (value: number): string => {
	if (!Number.isFinite(value)) {
		return value > 0 ? 'over all bounds' : 'overspent';
	}

	return value >= 100 ? value.toFixed(0) : value.toFixed(2);
};

export const formatPercent = (ratio: number): string =>
	Number.isFinite(ratio) ? `${(ratio * 100).toFixed(1)} %` : 'overspent';

export const formatCount = (count: number): string => Math.round(count).toLocaleString('en-US');

export const formatTime = (unixMs: number): string => new Date(unixMs).toISOString().slice(0, 16).replace('T', ' ') + ' UTC';

/** Describes the target and scope of an objective. */
export const describeObjective = ({kind, targetRatio, thresholdMs, database, workClass, windowDays}:
{kind: string; targetRatio: number; thresholdMs?: number; database?: string; workClass?: string; windowDays: number}): string => {
	const good = kind === 'latency' ? `done within ${thresholdMs} ms` : 'done';
	const scope = [database && `database ${database}`, workClass && `class ${workClass}`].filter(Boolean).join(', ');
	return `${Number((targetRatio * 100).toFixed(4))} % ${good} over ${windowDays} days${scope ? `, ${scope}` : ''}`;
};
