import {type DaemonStatus} from '../core/index.js';
import {type Counter, StatsdReporter, type StatsdOptions} from '../log/index.js';

/** Tag names for the label values of each counter; the core joins the values with `|` in this order. */
const LABEL_NAMES_BY_COUNTER: Record<string, readonly string[]> = {
	requests: ['service', 'class'],
	answers: ['service', 'class', 'outcome'],
	reasons: ['service', 'class', 'reason'],
	refused: ['service', 'class', 'reason'],
	retries: ['service', 'class', 'reason'],
	replayed: ['service'],
	joined: ['service'],
};

/** Reports the core's counters and gauges to StatsD. */
export class Metrics extends StatsdReporter {
	constructor(options: StatsdOptions, daemon: string, statusOf: () => DaemonStatus) {
		super(options, daemon, () => {
			const status = statusOf();
			const {limit, running, queued, inFlight, floor, ledgerSize} = status;
			return {
				counters: listCounters(status),
				gauges: {
					limit, running, queued, inFlight, floor, ledgerSize,
				},
			};
		});
	}
}

function * listCounters({counters}: DaemonStatus): Iterable<Counter> {
	for (const {name, labels, count} of counters) {
		yield {name, tags: parseTags(name, labels), count};
	}
}

function parseTags(name: string, labels: string): Record<string, string> {
	const names = LABEL_NAMES_BY_COUNTER[name] ?? ['label'];
	const values = labels.split('|');
	return Object.fromEntries(names.map((label, index) => [label, values[index] ?? '']));
}
