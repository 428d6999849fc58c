import {z} from 'zod';

/** A log line of a daemon. */
export type LogLine = {
	[field: string]: unknown;
	/** Wall-clock time of the host that wrote the line, in Unix ms; the clocks of hosts differ. */
	time: number;
	hostId: string;
	event: string;
	/** Identifies one run of the process; monotonic times of different runs must not be compared. */
	incarnation?: string;
	/** Monotonic time of that process, in ms. */
	monotonicMs: number;
};

const logLineSchema = z.looseObject({
	time: z.number(), hostId: z.string(), event: z.string(), incarnation: z.string().optional(), monotonicMs: z.number(),
});

/** Parses log lines; skips text before the JSON, such as the prefixes of log collectors. */
export function parseLogLines(text: string): {lines: LogLine[]; damaged: number} {
	const parsed = text.split('\n').filter(line => line.includes('{')).map(line => parseLine(line));
	const lines = parsed.filter(line => line !== undefined);
	return {lines, damaged: parsed.length - lines.length};
}

function parseLine(line: string): LogLine | undefined {
	try {
		const {data} = logLineSchema.safeParse(JSON.parse(line.slice(line.indexOf('{'))));
		return data;
	} catch {
		// A truncated log ends in an incomplete line; the caller counts it as damaged.
		return undefined;
	}
}
