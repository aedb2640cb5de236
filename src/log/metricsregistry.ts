import {type Histogram, build} from 'hdr-histogram-js';
import {type Counter} from './statsdreporter.js';

/** Label names and values that identify a series. */
export type Labels = Readonly<Record<string, string | number>>;

/** Longest duration that the histograms tell apart, in ms. Clients wait no longer than this. */
const MAX_TRACKABLE_MS = 60_000;
const SIGNIFICANT_DIGITS = 2;
/** The last is the longest. */
const QUANTILES = [0.5, 0.9, 0.99, 0.999, 1];
const PREFIX = 'comfreydyke';

type CounterSeries = {readonly tags: Readonly<Record<string, string>>; count: number};
type SummarySeries = {readonly histogram: Histogram; sumMs: number};

/** Holds all counters and latency histograms of a process, by name and labels. */
export class MetricsRegistry {
	readonly #counters = new Map<string, Map<string, CounterSeries>>();
	readonly #summaries = new Map<string, Map<string, SummarySeries>>();

	/** Increments a counter by one. */
	count(name: string, labels: Labels = {}): void {
		const series = getOrCreateSeries(this.#counters, name);
		const key = formatLabels(labels);
		const existing = series.get(key);
		if (existing === undefined) {
			series.set(key, {tags: Object.fromEntries(Object.entries(labels).map(([label, counterValue]) => [label, String(counterValue)])), count: 1});
		} else {
			existing.count++;
		}
	}

	/** Records a duration in a histogram. */
	observe(name: string, labels: Labels, durationMs: number): void {
		const series = getOrCreateSeries(this.#summaries, name);
		const key = formatLabels(labels);
		let summary = series.get(key);
		if (summary === undefined) {
			summary = {
				histogram: build({
					lowestDiscernibleValue: 1, highestTrackableValue: MAX_TRACKABLE_MS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
				}),
				sumMs: 0,
			};
			series.set(key, summary);
		}

		summary.histogram.recordValue(Math.min(MAX_TRACKABLE_MS, Math.max(0, Math.round(durationMs))));
		summary.sumMs += durationMs;
	}

	/** Returns the value of a counter, or 0 if it was never incremented. */
	value(name: string, labels: Labels = {}): number {
		return this.#counters.get(name)?.get(formatLabels(labels))?.count ?? 0;
	}

	/** Yields the current values of all counters. */
	* counters(): Iterable<Counter> {
		for (const [name, series] of this.#counters) {
			for (const {tags, count} of series.values()) {
				yield {name, tags, count};
			}
		}
	}

	/** Formats all metrics in the Prometheus text format, durations in seconds. */
	formatPrometheus(): string {
		const lines: string[] = [];
		for (const [name, series] of this.#counters) {
			const metricName = `${PREFIX}_${name}_total`;
			lines.push(`# TYPE ${metricName} counter`);
			for (const [key, {count}] of series) {
				lines.push(`${metricName}${wrapInBraces(key)} ${count}`);
			}
		}

		for (const [name, series] of this.#summaries) {
			const metricName = `${PREFIX}_${name}_seconds`;
			lines.push(`# TYPE ${metricName} summary`);
			for (const [key, {histogram, sumMs}] of series) {
				for (const quantile of QUANTILES) {
					const valueMs = histogram.getValueAtPercentile(quantile * 100);
					lines.push(`${metricName}${wrapInBraces(`${key}${key === '' ? '' : ','}quantile="${quantile}"`)} ${valueMs / 1000}`);
				}

				lines.push(`${metricName}_sum${wrapInBraces(key)} ${sumMs / 1000}`, `${metricName}_count${wrapInBraces(key)} ${histogram.totalCount}`);
			}
		}

		return lines.join('\n') + '\n';
	}
}

function getOrCreateSeries<T>(seriesByName: Map<string, Map<string, T>>, name: string): Map<string, T> {
	let series = seriesByName.get(name);
	if (series === undefined) {
		series = new Map();
		seriesByName.set(name, series);
	}

	return series;
}

/** Characters that a label's value can't have in the text format. */
const UNSAFE_PATTERN = /["\\\n]/v;
const UNSAFE_PATTERN_ALL = /["\\\n]/gv;

// Called for each record, several times a request: one text, no list and no copy of the labels.
function formatLabels(labels: Labels): string {
	let text = '';
	for (const name in labels) {
		if (Object.hasOwn(labels, name)) {
			const value = String(labels[name]);
			text += `${text === '' ? '' : ','}${name}="${UNSAFE_PATTERN.test(value) ? value.replaceAll(UNSAFE_PATTERN_ALL, '_') : value}"`;
		}
	}

	return text;
}

function wrapInBraces(key: string): string {
	return key === '' ? '' : `{${key}}`;
}
