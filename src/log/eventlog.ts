import {type Clock} from '../clock/index.js';
import {type LogFields, type Logger} from './logger.js';
import {MetricsRegistry} from './metricsregistry.js';

/** Most lines written per second for one event name; further ones are only counted. The limit bounds the processor time spent on logging. */
const MAX_LINES_PER_S = 20;
const WINDOW_MS = 1000;

type RateWindow = {startMs: number; written: number; omitted: number};

/** Writes events through a logger, rate-limited for each event name, and logs how many lines were omitted. */
export class EventLog {
	/** The counters and histograms that are recorded beside the events. */
	readonly registry = new MetricsRegistry();
	readonly #logger: Logger;
	readonly #clock: Clock;
	readonly #windows = new Map<string, RateWindow>();

	constructor(logger: Logger, clock: Clock) {
		this.#logger = logger;
		this.#clock = clock;
	}

	/** Writes one event, unless its name has reached the rate limit of the current window. */
	event(name: string, fields: LogFields = {}): void {
		this.#write('info', name, fields);
	}

	/** Like `event`, at level warn: for what an operator should look at. */
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

		if (window.written >= MAX_LINES_PER_S) {
			window.omitted++;
			return;
		}

		window.written++;
		this.#logger[level](name, fields);
	}
}
