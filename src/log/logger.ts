import process from 'node:process';
import bunyan from 'bunyan';

/** Fields of one event. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes one line of key=value pairs for each event. */
export class Logger {
	readonly #bunyan: bunyan;

	constructor(id: string, level: bunyan.LogLevelString, write: (line: string) => void = line => {
		process.stdout.write(line);
	}) {
		const stream = {
			write(record: unknown) {
				write(formatRecord(record as Record<string, unknown>));
			},
		};
		this.#bunyan = bunyan.createLogger({name: id, streams: [{type: 'raw', level, stream}]});
	}

	info(event: string, fields: LogFields = {}): void {
		this.#bunyan.info({...fields, event}, event);
	}

	warn(event: string, fields: LogFields = {}): void {
		this.#bunyan.warn({...fields, event}, event);
	}

	error(event: string, fields: LogFields = {}): void {
		this.#bunyan.error({...fields, event}, event);
	}
}

const LEVELS: Record<number, string> = {
	10: 'trace', 20: 'debug', 30: 'info', 40: 'warn', 50: 'error',
};
const ENVELOPE = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'event']);

/** Turns a bunyan record into one line. */
export function formatRecord(record: Record<string, unknown>): string {
	const time = record.time instanceof Date ? record.time.toISOString() : String(record.time);
	const pairs = [
		`time=${time}`,
		`level=${LEVELS[record.level as number] ?? 'info'}`,
		`daemon=${quote(String(record.name))}`,
		`event=${quote(String(record.event))}`,
	];
	for (const [name, value] of Object.entries(record)) {
		if (!ENVELOPE.has(name)) {
			pairs.push(`${name}=${quote(String(value))}`);
		}
	}

	return pairs.join(' ') + '\n';
}

function quote(text: string): string {
	return /^[\w.:\/@+\-]*$/v.test(text) && text !== '' ? text : JSON.stringify(text);
}
