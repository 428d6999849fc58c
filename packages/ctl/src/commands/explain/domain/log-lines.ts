import {z} from 'zod';

/** A line that a daemon logged. */
export type LogLine = {
	[field: string]: unknown;
	/** Time of day at the host that wrote it, Unix time in ms; hosts differ. */
	time: number;
	hostId: string;
	event: string;
	/** Life of the process; steady times of two lives must not be compared. */
	incarnation?: string;
	/** Steady time of that process, in ms. */
	monotonicMs: number;
};

const logLineSchema = z.looseObject({
	time: z.number(), hostId: z.string(), event: z.string(), incarnation: z.string().optional(), monotonicMs: z.number(),
});

/** Lines of logs; text before the JSON, as log collectors add it, is skipped. */
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
		// Counted by the caller: a log that was cut off ends in half a line.
		return undefined;
	}
}
