import {StatsD} from 'hot-shots';

/** Where and how often metrics go, by StatsD. */
export type StatsdOptions = {readonly host: string; readonly port: number; readonly prefix: string; readonly intervalMs: number};

/** One counter of a process as it stands. */
export type Counter = {readonly name: string; readonly tags: Readonly<Record<string, string>>; readonly count: number};

// A lost metric is not worth an event of its own.
const ignore = () => undefined;

/** What a process measures, as it stands. */
export type MetricsSnapshot = {readonly counters: Iterable<Counter>; readonly gauges?: Readonly<Record<string, number>>};

/** Sends the growth of counters, and gauges as they are, to StatsD. */
export class StatsdReporter {
	readonly #client: StatsD;
	readonly #read: () => MetricsSnapshot;
	readonly #sent = new Map<string, number>();
	readonly #timer: NodeJS.Timeout;

	constructor({host, port, prefix, intervalMs}: StatsdOptions, daemon: string, read: () => MetricsSnapshot) {
		this.#client = new StatsD({
			host, port, prefix, globalTags: {daemon}, errorHandler: ignore,
		});
		this.#read = read;
		this.#timer = setInterval(() => {
			this.flush();
		}, intervalMs);
	}

	flush(): void {
		const {counters, gauges = {}} = this.#read();
		for (const {name, tags, count} of counters) {
			const id = `${name} ${JSON.stringify(tags)}`;
			const growth = count - (this.#sent.get(id) ?? 0);
			if (growth > 0) {
				this.#sent.set(id, count);
				this.#client.increment(name, growth, tags);
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
