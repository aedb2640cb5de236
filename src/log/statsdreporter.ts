import {StatsD} from 'hot-shots';

/** The StatsD server, the prefix of metric names and the reporting interval. */
export type StatsdOptions = {readonly host: string; readonly port: number; readonly prefix: string; readonly intervalMs: number};

/** The current value of one counter series. */
export type Counter = {readonly name: string; readonly tags: Readonly<Record<string, string>>; readonly count: number};

// A lost metric does not justify a log event.
const ignoreError = () => undefined;

/** The current values of all metrics of a process. */
export type MetricsSnapshot = {readonly counters: Iterable<Counter>; readonly gauges?: Readonly<Record<string, number>>};

/** Reports metrics to StatsD at an interval: counters by their increase since the last report, gauges by their value. */
export class StatsdReporter {
	readonly #client: StatsD;
	readonly #takeSnapshot: () => MetricsSnapshot;
	readonly #sentCounts = new Map<string, number>();
	readonly #timer: NodeJS.Timeout;

	constructor({host, port, prefix, intervalMs}: StatsdOptions, daemon: string, takeSnapshot: () => MetricsSnapshot) {
		this.#client = new StatsD({
			host, port, prefix, globalTags: {daemon}, errorHandler: ignoreError,
		});
		this.#takeSnapshot = takeSnapshot;
		this.#timer = setInterval(() => {
			this.flush();
		}, intervalMs);
	}

	flush(): void {
		const {counters, gauges = {}} = this.#takeSnapshot();
		for (const {name, tags, count} of counters) {
			const seriesId = `${name} ${JSON.stringify(tags)}`;
			const increase = count - (this.#sentCounts.get(seriesId) ?? 0);
			if (increase > 0) {
				this.#sentCounts.set(seriesId, count);
				this.#client.increment(name, increase, tags);
			}
		}

		for (const [name, value] of Object.entries(gauges)) {
			this.#client.gauge(name, value);
		}
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		this.flush();
		return new Promise(resolve => {
			this.#client.close(() => {
				resolve();
			});
		});
	}
}
