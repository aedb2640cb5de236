/** Matches a line as `Logger` writes it: the fixed fields come first, then the fields of the event. */
const LINE_PATTERN = /time=(?<time>\S+) level=\w+ daemon=(?<daemon>\S+) event=(?<event>\S+)(?: (?<fields>.*))?$/v;

/**
 * Returns the log lines of a client attempt and of its nested calls, in the
 * order of time, each with the time since the first line in ms.
 */
export function traceAttempt(id: string, lines: readonly string[]): string[] {
	const entries = lines.flatMap(line => {
		const {time, daemon, event, fields = ''} = LINE_PATTERN.exec(line)?.groups ?? {};
		const attempt = /\battempt=(?<attempt>\S+)/v.exec(fields)?.groups?.attempt;
		const belongsToAttempt = attempt === id || attempt?.startsWith(`${id}.`) === true;
		return belongsToAttempt
			? [{
				atMs: Date.parse(time), daemon, event, fields,
			}]
			: [];
	}).toSorted((a, b) => a.atMs - b.atMs);
	const startMs = entries[0]?.atMs ?? 0;
	return entries.map(({atMs, daemon, event, fields}) => `+${atMs - startMs} ms  ${daemon}  ${event}  ${fields}`);
}
