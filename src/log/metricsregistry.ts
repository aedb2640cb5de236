import {type Histogram, build} from 'hdr-histogram-js';
import {type Counter} from './statsdreporter.js';

/** Names and values that tell one series from another. */
export type Labels = Readonly<Record<string, string | number>>;

/** The longest time that is told apart, in ms; clients wait no longer. */
const HIGHEST_MS = 60_000;
const DIGITS = 2;
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const PREFIX = 'comfreydyke';

type Count = {readonly tags: Readonly<Record<string, string>>; count: number};
type Summary = {readonly histogram: Histogram; sumMs: number};

/** All counters and histograms of a process, by name and labels. */
export class MetricsRegistry {
	readonly #counters = new Map<string, Map<string, Count>>();
	readonly #summaries = new Map<string, Map<string, Summary>>();

	/** Adds one to a counter. */
	count(name: string, labels: Labels = {}): void {
		const series = seriesOf(this.#counters, name);
		const key = keyOf(labels);
		const held = series.get(key);
		if (held === undefined) {
			series.set(key, {tags: Object.fromEntries(Object.entries(labels).map(([label, counterValue]) => [label, String(counterValue)])), count: 1});
		} else {
			held.count++;
		}
	}

	/** Takes in a time in ms. */
	observe(name: string, labels: Labels, spentMs: number): void {
		const series = seriesOf(this.#summaries, name);
		const key = keyOf(labels);
		let summary = series.get(key);
		if (summary === undefined) {
			summary = {
				histogram: build({
					lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MS, numberOfSignificantValueDigits: DIGITS,
				}),
				sumMs: 0,
			};
			series.set(key, summary);
		}

		summary.histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, Math.round(spentMs))));
		summary.sumMs += spentMs;
	}

	/** A counter's value, for tests and status. */
	value(name: string, labels: Labels = {}): number {
		return this.#counters.get(name)?.get(keyOf(labels))?.count ?? 0;
	}

	/** The counters as they stand. */
	* counters(): Iterable<Counter> {
		for (const [name, series] of this.#counters) {
			for (const {tags, count} of series.values()) {
				yield {name, tags, count};
			}
		}
	}

	/** Everything in the Prometheus text format. */
	formatPrometheus(): string {
		const lines: string[] = [];
		for (const [name, series] of this.#counters) {
			const full = `${PREFIX}_${name}_total`;
			lines.push(`# TYPE ${full} counter`);
			for (const [key, {count}] of series) {
				lines.push(`${full}${braced(key)} ${count}`);
			}
		}

		for (const [name, series] of this.#summaries) {
			const full = `${PREFIX}_${name}_seconds`;
			lines.push(`# TYPE ${full} summary`);
			for (const [key, {histogram, sumMs}] of series) {
				for (const quantile of QUANTILES) {
					const valueMs = histogram.getValueAtPercentile(quantile * 100);
					lines.push(`${full}${braced(`${key}${key === '' ? '' : ','}quantile="${quantile}"`)} ${valueMs / 1000}`);
				}

				lines.push(`${full}_sum${braced(key)} ${sumMs / 1000}`, `${full}_count${braced(key)} ${histogram.totalCount}`);
			}
		}

		return lines.join('\n') + '\n';
	}
}

function seriesOf<T>(all: Map<string, Map<string, T>>, name: string): Map<string, T> {
	let series = all.get(name);
	if (series === undefined) {
		series = new Map();
		all.set(name, series);
	}

	return series;
}

function keyOf(labels: Labels): string {
	return Object.entries(labels).map(([name, value]) => `${name}="${String(value).replaceAll(/["\\\n]/gv, '_')}"`).join(',');
}

function braced(key: string): string {
	return key === '' ? '' : `{${key}}`;
}
