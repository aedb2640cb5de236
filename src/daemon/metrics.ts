import {type Status} from '../core/index.js';
import {type Counter, CounterFeed, type FeedOptions} from '../log/index.js';

const LABELS: Record<string, readonly string[]> = {
	requests: ['service', 'class'],
	answers: ['service', 'class', 'outcome'],
	reasons: ['service', 'class', 'reason'],
	refused: ['service', 'class', 'reason'],
	retries: ['service', 'class', 'reason'],
	replayed: ['service'],
	joined: ['service'],
};

/** Sends the growth of each counter and the present gauges to StatsD. */
export class Metrics {
	readonly #feed: CounterFeed;
	readonly #status: () => Status;
	readonly #timer: NodeJS.Timeout;

	constructor(options: FeedOptions, daemon: string, status: () => Status) {
		this.#feed = new CounterFeed(options, daemon, () => countersOf(status()));
		this.#status = status;
		this.#timer = setInterval(() => {
			this.#sendGauges();
		}, options.intervalMs);
	}

	flush(): void {
		this.#feed.flush();
		this.#sendGauges();
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		this.#sendGauges();
		await this.#feed.close();
	}

	#sendGauges(): void {
		const status = this.#status();
		for (const gauge of ['limit', 'running', 'queued', 'inFlight', 'floor', 'ledgerSize'] as const) {
			this.#feed.gauge(gauge, status[gauge]);
		}
	}
}

function * countersOf({counters}: Status): Iterable<Counter> {
	for (const {name, labels, count} of counters) {
		yield {name, tags: tagsOf(name, labels), count};
	}
}

function tagsOf(name: string, labels: string): Record<string, string> {
	const names = LABELS[name] ?? ['label'];
	const values = labels.split('|');
	return Object.fromEntries(names.map((label, index) => [label, values[index] ?? '']));
}
