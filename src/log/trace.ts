/** Fields that stand first in a traced line; the others follow as they were logged. */
const LINE = /time=(?<time>\S+) level=\w+ daemon=(?<daemon>\S+) event=(?<event>\S+)(?: (?<fields>.*))?$/v;

/**
 * The lines that tell of a client attempt and of the calls made for it, in the
 * order of their times, with the time since the first in ms.
 */
export function traceAttempt(id: string, lines: readonly string[]): string[] {
	const found = lines.flatMap(line => {
		const {time, daemon, event, fields = ''} = LINE.exec(line)?.groups ?? {};
		const attempt = /\battempt=(?<attempt>\S+)/v.exec(fields)?.groups?.attempt;
		const isOfIt = attempt === id || attempt?.startsWith(`${id}.`) === true;
		return isOfIt
			? [{
				atMs: Date.parse(time), daemon, event, fields,
			}]
			: [];
	}).toSorted((a, b) => a.atMs - b.atMs);
	const startMs = found[0]?.atMs ?? 0;
	return found.map(({atMs, daemon, event, fields}) => `+${atMs - startMs} ms  ${daemon}  ${event}  ${fields}`);
}
