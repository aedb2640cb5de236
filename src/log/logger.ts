import bunyan from 'bunyan';
import {StandardOutput} from './standardoutput.js';

/** The fields of one event besides those that every line has. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes each event as one line of key=value pairs. */
export class Logger {
	readonly #bunyan: bunyan;

	/** @param write writes to standard output by default */
	constructor(id: string, level: bunyan.LogLevelString, write = createWriter()) {
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

function createWriter(): (line: string) => void {
	const output = new StandardOutput();
	return line => {
		output.tryWrite(line);
	};
}

const LEVELS: Record<number, string> = {
	10: 'trace', 20: 'debug', 30: 'info', 40: 'warn', 50: 'error',
};
/** Fields that bunyan puts into each record, and the event name: they are left out of the event's own fields. */
const ENVELOPE_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'event']);

/** Formats a bunyan record as one line of key=value pairs. */
export function formatRecord(record: Record<string, unknown>): string {
	const time = record.time instanceof Date ? record.time.toISOString() : String(record.time);
	const pairs = [
		`time=${time}`,
		`level=${LEVELS[record.level as number] ?? 'info'}`,
		`daemon=${quoteIfNeeded(String(record.name))}`,
		`event=${quoteIfNeeded(String(record.event))}`,
	];
	for (const [name, value] of Object.entries(record)) {
		if (!ENVELOPE_FIELDS.has(name)) {
			pairs.push(`${name}=${quoteIfNeeded(String(value))}`);
		}
	}

	return pairs.join(' ') + '\n';
}

/** Limits each value of a line, in characters: some come from other writers. */
const MAX_VALUE_LENGTH = 1000;

function quoteIfNeeded(value: string): string {
	const text = value.length > MAX_VALUE_LENGTH ? `${value.slice(0, MAX_VALUE_LENGTH)}...` : value;
	return /^[\w.:\/@+\-]*$/v.test(text) && text !== '' ? text : JSON.stringify(text);
}
