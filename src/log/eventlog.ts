import {type Clock} from '../clock/index.js';
import {type LogFields, type Logger} from './logger.js';
import {MetricsRegistry} from './metricsregistry.js';

/** Lines of one kind of event that are written in a second; the rest is counted. From the processor time that a line costs. */
const LINES_PER_S = 20;
const WINDOW_MS = 1000;

type Window = {startMs: number; written: number; omitted: number};

/** Writes events through a logger, with a bound on each kind and a count of what was left out. */
export class EventLog {
	/** What is counted and timed beside the events. */
	readonly registry = new MetricsRegistry();
	readonly #logger: Logger;
	readonly #clock: Clock;
	readonly #windows = new Map<string, Window>();

	constructor(logger: Logger, clock: Clock) {
		this.#logger = logger;
		this.#clock = clock;
	}

	/** Writes one event, unless its kind has used up this second's lines. */
	event(name: string, fields: LogFields = {}): void {
		this.#write('info', name, fields);
	}

	/** As `event`, for what an operator should look at. */
	warn(name: string, fields: LogFields = {}): void {
		this.#write('warn', name, fields);
	}

	#write(level: 'info' | 'warn', name: string, fields: LogFields): void {
		const nowMs = this.#clock.nowMs();
		let window = this.#windows.get(name);
		if (window === undefined) {
			window = {startMs: nowMs, written: 0, omitted: 0};
			this.#windows.set(name, window);
		} else if (nowMs - window.startMs >= WINDOW_MS) {
			if (window.omitted > 0) {
				this.#logger.info('omitted', {of: name, lines: window.omitted, overMs: Math.round(nowMs - window.startMs)});
			}

			window.startMs = nowMs;
			window.written = 0;
			window.omitted = 0;
		}

		if (window.written >= LINES_PER_S) {
			window.omitted++;
			return;
		}

		window.written++;
		this.#logger[level](name, fields);
	}
}
