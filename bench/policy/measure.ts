import {type FakeSite} from '../../fakes/index.js';
import {type Callers, type RootRecord} from './callers.js';
import {type Deployment, capacityOf} from './deployment.js';
import {type Phases, type PolicyName} from './run.js';
import {type Scenario} from './scenario.js';

const WINDOW_MS = 1000;
const STEP_MS = 100;
/** How long the level must hold to count as recovered, in ms. */
const HOLD_MS = 2000;
const RECOVERED_SHARE = 0.99;
/** How much slower than almost all before an answer may be and still be prompt. */
const PROMPT_FACTOR = 2;
const LATE_MS = 9_999_999;

/** What a run has shown. Shares are from 0 to 1. */
export type Measures = {
	readonly deployment: string;
	readonly scenario: string;
	readonly policy: PolicyName;
	readonly capacity: number;
	/** Whole answers that came under pressure, as a share of the ideal. */
	readonly goodput: number;
	readonly completeShare: number;
	readonly importantComplete: number;
	readonly importantDemand: number;
	readonly otherComplete: number;
	/** From the end of the pressure until the level before is reached again; -1 for never. */
	readonly recoveryMs: number;
	readonly wasted: number;
	/** Slot time wasted before the pressure, as a share. */
	readonly wastedSteady: number;
	readonly sendsPerRequest: number;
	readonly retriesPerRequest: number;
	readonly refusals: number;
	readonly firstRefusalMaxMs: number;
	readonly refusalP99Ms: number;
	/** Jain's index over the callers' shares of completed requests under pressure. */
	readonly fairness: number;
	/** Completed requests in each second from the start. */
	readonly series: readonly number[];
};

type Run = {
	readonly deployment: Deployment;
	readonly scenario: Scenario;
	readonly policy: PolicyName;
	readonly site: FakeSite;
	readonly callers: Callers;
	readonly phases: Phases;
	readonly capacity: number;
};

export function measure(run: Run): Measures {
	const {deployment, scenario, policy, site, callers, phases, capacity} = run;
	const all = [...callers.roots.values()];
	const under = all.filter(({atMs}) => atMs >= phases.beginMs && atMs < phases.endMs);
	const before = all.filter(({atMs}) => atMs < phases.beginMs);
	const complete = under.filter(({outcome}) => outcome === 'complete');
	const important = under.filter(({isImportant}) => isImportant);
	const others = under.filter(({isImportant}) => !isImportant);
	const pressedCapacity = capacityOf(scenario.during?.(deployment) ?? deployment);
	const seconds = scenario.pressureMs / 1000;
	const ideal = Math.min(under.length, pressedCapacity * seconds);
	const answered = all.filter(({outcome, doneMs}) => outcome === 'complete' && doneMs! >= phases.beginMs && doneMs! < phases.endMs).length;
	const {first, all: refusals} = callers.refusals;
	return {
		deployment: deployment.name,
		scenario: scenario.name,
		policy,
		capacity,
		goodput: answered / ideal,
		completeShare: complete.length / under.length,
		importantComplete: shareComplete(important),
		importantDemand: important.length / seconds / pressedCapacity,
		otherComplete: shareComplete(others),
		recoveryMs: recoveryOf(all, phases),
		wasted: wastedShare(under),
		wastedSteady: wastedShare(before),
		sendsPerRequest: under.reduce((sum, {sends}) => sum + sends, 0) / under.length,
		retriesPerRequest: retriesOf(site) / all.length,
		refusals: refusals.length,
		firstRefusalMaxMs: first.length === 0 ? 0 : maxOf(first),
		refusalP99Ms: percentile(refusals, 0.99),
		fairness: fairnessOf(others),
		series: seriesOf(all, phases),
	};
}

function shareComplete(records: readonly RootRecord[]): number {
	return records.length === 0 ? 1 : records.filter(({outcome}) => outcome === 'complete').length / records.length;
}

// A run's slot time is wasted if the run failed or its root never got a whole answer.
function wastedShare(records: readonly RootRecord[]): number {
	let spent = 0;
	let wasted = 0;
	for (const {slotMs, wastedMs, outcome} of records) {
		spent += slotMs;
		wasted += outcome === 'complete' ? wastedMs : slotMs;
	}

	return spent === 0 ? 0 : wasted / spent;
}

// A window is at its level when as large a share of the requests that came in it
// was answered whole, and as promptly, as before. Shares rather than counts, so
// that the chance number of arrivals in a window doesn't decide.
function recoveryOf(records: readonly RootRecord[], {startMs, beginMs, endMs, untilMs}: Phases): number {
	const before = records.filter(({atMs}) => atMs >= startMs + (2 * WINDOW_MS) && atMs < beginMs - WINDOW_MS);
	const promptMs = PROMPT_FACTOR * percentile(before.map(record => latencyOf(record)), 0.99);
	const isGood = (record: RootRecord) => latencyOf(record) <= promptMs;
	const level = before.filter(record => isGood(record)).length / before.length;
	const after = records.filter(({atMs}) => atMs >= endMs).toSorted((a, b) => a.atMs - b.atMs);
	const arrivals = after.map(({atMs}) => atMs);
	const good = after.filter(record => isGood(record)).map(({atMs}) => atMs);
	const count = (values: readonly number[], fromMs: number) => lowerBound(values, fromMs + WINDOW_MS) - lowerBound(values, fromMs);
	let sinceMs: number | undefined;
	for (let atMs = endMs; atMs + WINDOW_MS <= untilMs; atMs += STEP_MS) {
		if (count(good, atMs) >= RECOVERED_SHARE * level * count(arrivals, atMs)) {
			sinceMs ??= atMs;
			if (atMs - sinceMs >= HOLD_MS) {
				return Math.round(sinceMs - endMs);
			}
		} else {
			sinceMs = undefined;
		}
	}

	return -1;
}

function latencyOf({atMs, doneMs, outcome}: RootRecord): number {
	return outcome === 'complete' && doneMs !== undefined ? doneMs - atMs : Number.POSITIVE_INFINITY;
}

/** A recovery time that can be compared: never is later than any. */
export function comparable(recoveryMs: number): number {
	return recoveryMs === -1 ? LATE_MS : recoveryMs;
}

function seriesOf(records: readonly RootRecord[], {startMs, untilMs}: Phases): number[] {
	const series = Array.from({length: Math.floor((untilMs - startMs) / WINDOW_MS)}, () => 0);
	for (const {doneMs, outcome} of records) {
		const at = doneMs === undefined ? -1 : Math.floor((doneMs - startMs) / WINDOW_MS);
		if (outcome === 'complete' && at >= 0 && at < series.length) {
			series[at]++;
		}
	}

	return series;
}

function fairnessOf(records: readonly RootRecord[]): number {
	const callers = new Map<number, {sent: number; complete: number}>();
	for (const {caller, outcome} of records) {
		const entry = callers.get(caller) ?? {sent: 0, complete: 0};
		entry.sent++;
		entry.complete += outcome === 'complete' ? 1 : 0;
		callers.set(caller, entry);
	}

	const shares = [...callers.values()].map(({sent, complete}) => complete / sent);
	const sum = shares.reduce((total, share) => total + share, 0);
	const squares = shares.reduce((total, share) => total + (share ** 2), 0);
	return squares === 0 ? 1 : (sum ** 2) / (shares.length * squares);
}

function retriesOf(site: FakeSite): number {
	let retries = 0;
	for (const id of site.ids) {
		for (const {name, count} of site.core(id)?.status().counters ?? []) {
			retries += name === 'retries' ? count : 0;
		}
	}

	return retries;
}

function maxOf(values: readonly number[]): number {
	let max = 0;
	for (const value of values) {
		max = Math.max(max, value);
	}

	return max;
}

function percentile(values: readonly number[], share: number): number {
	return values.length === 0 ? 0 : values.toSorted((a, b) => a - b)[Math.floor(values.length * share)];
}

function lowerBound(values: readonly number[], value: number): number {
	let low = 0;
	let high = values.length;
	while (low < high) {
		const middle = (low + high) >>> 1;
		if (values[middle] < value) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
