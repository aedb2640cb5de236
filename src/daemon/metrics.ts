import {type DaemonStatus} from '../core/index.js';
import {type Counter, StatsdReporter, type StatsdOptions} from '../log/index.js';

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
export class Metrics extends StatsdReporter {
	constructor(options: StatsdOptions, daemon: string, statusOf: () => DaemonStatus) {
		super(options, daemon, () => {
			const status = statusOf();
			const {limit, running, queued, inFlight, floor, ledgerSize} = status;
			return {
				counters: countersOf(status),
				gauges: {
					limit, running, queued, inFlight, floor, ledgerSize,
				},
			};
		});
	}
}

function * countersOf({counters}: DaemonStatus): Iterable<Counter> {
	for (const {name, labels, count} of counters) {
		yield {name, tags: tagsOf(name, labels), count};
	}
}

function tagsOf(name: string, labels: string): Record<string, string> {
	const names = LABELS[name] ?? ['label'];
	const values = labels.split('|');
	return Object.fromEntries(names.map((label, index) => [label, values[index] ?? '']));
}
