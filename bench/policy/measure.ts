import {type FakeSite} from '../../fakes/index.js';
import {type Callers, type RootRecord} from './callers.js';
import {type Deployment, calculateCapacity} from './deployment.js';
import {type Phases, type PolicyName} from './run.js';
import {type Scenario} from './scenario.js';

/** Length of the sliding window in which recovery is judged, and of the steps of `series`. */
const WINDOW_MS = 1000;
const WINDOW_STEP_MS = 100;
/** How long windows must stay at the earlier level to count as recovered, in ms. */
const RECOVERY_HOLD_MS = 2000;
/** Part of the earlier level that a window must reach. */
const RECOVERED_SHARE = 0.99;
/** An answer is prompt if it takes at most this many times the 99th percentile from before the pressure. */
const PROMPT_FACTOR = 2;
/** Stands for "never" where recovery times are compared. */
const NEVER_RECOVERED_MS = 9_999_999;

/** Results of one run. The pressure is the time in which the scenario raises demand or injects a fault. Shares are from 0 to 1. */
export type Measures = {
	readonly deployment: string;
	readonly scenario: string;
	readonly policy: PolicyName;
	/** Requests a second that the slots can serve without the pressure. */
	readonly capacity: number;
	/** Complete answers that arrived under pressure, as a share of what capacity and demand allow. */
	readonly goodput: number;
	readonly completeShare: number;
	readonly importantComplete: number;
	/** Arrival rate of important requests, as a share of the capacity under pressure. */
	readonly importantDemand: number;
	readonly otherComplete: number;
	/** Time in ms from the end of the pressure until answers reach the earlier level again; -1 for never. */
	readonly recoveryMs: number;
	/** Share of slot time spent on requests from the time of pressure that was wasted. */
	readonly wasted: number;
	/** The same share for requests from before the pressure. */
	readonly wastedSteady: number;
	readonly sendsPerRequest: number;
	readonly retriesPerRequest: number;
	readonly refusals: number;
	/** Longest time that a daemon took to refuse a request with reason `pressure`, in ms. */
	readonly firstRefusalMaxMs: number;
	readonly refusalP99Ms: number;
	/** Jain's fairness index over the callers' shares of complete answers to less important requests under pressure. */
	readonly fairness: number;
	/** Complete answers in each second from the start of the load. */
	readonly series: readonly number[];
};

type CompletedRun = {
	readonly deployment: Deployment;
	readonly scenario: Scenario;
	readonly policy: PolicyName;
	readonly site: FakeSite;
	readonly callers: Callers;
	readonly phases: Phases;
	readonly capacity: number;
};

export function measure(run: CompletedRun): Measures {
	const {deployment, scenario, policy, site, callers, phases, capacity} = run;
	const all = [...callers.roots.values()];
	const underPressure = all.filter(({arrivedMs}) => arrivedMs >= phases.pressureStartMs && arrivedMs < phases.pressureEndMs);
	const before = all.filter(({arrivedMs}) => arrivedMs < phases.pressureStartMs);
	const complete = underPressure.filter(({outcome}) => outcome === 'complete');
	const important = underPressure.filter(({isImportant}) => isImportant);
	const others = underPressure.filter(({isImportant}) => !isImportant);
	const capacityUnderPressure = calculateCapacity(scenario.underPressure?.(deployment) ?? deployment);
	const seconds = scenario.pressureMs / 1000;
	const idealAnswers = Math.min(underPressure.length, capacityUnderPressure * seconds);
	const answered = all.filter(({outcome, doneMs}) => outcome === 'complete' && doneMs! >= phases.pressureStartMs && doneMs! < phases.pressureEndMs).length;
	const {forPressure, all: refusals} = callers.refusals;
	return {
		deployment: deployment.name,
		scenario: scenario.name,
		policy,
		capacity,
		goodput: answered / idealAnswers,
		completeShare: complete.length / underPressure.length,
		importantComplete: completeShareOf(important),
		importantDemand: important.length / seconds / capacityUnderPressure,
		otherComplete: completeShareOf(others),
		recoveryMs: calculateRecoveryMs(all, phases),
		wasted: wastedShareOf(underPressure),
		wastedSteady: wastedShareOf(before),
		sendsPerRequest: underPressure.reduce((sum, {sends}) => sum + sends, 0) / underPressure.length,
		retriesPerRequest: countRetries(site) / all.length,
		refusals: refusals.length,
		firstRefusalMaxMs: forPressure.length === 0 ? 0 : maxOf(forPressure),
		refusalP99Ms: percentile(refusals, 0.99),
		fairness: calculateFairness(others),
		series: countCompletionsPerSecond(all, phases),
	};
}

function completeShareOf(records: readonly RootRecord[]): number {
	return records.length === 0 ? 1 : records.filter(({outcome}) => outcome === 'complete').length / records.length;
}

// The slot time of a run is wasted if the run failed or its root request got no complete answer.
function wastedShareOf(records: readonly RootRecord[]): number {
	let spent = 0;
	let wasted = 0;
	for (const {slotMs, wastedMs, outcome} of records) {
		spent += slotMs;
		wasted += outcome === 'complete' ? wastedMs : slotMs;
	}

	return spent === 0 ? 0 : wasted / spent;
}

// A window is at the earlier level when the share of its arrivals that get a
// complete and prompt answer is as large as before the pressure. It compares
// shares because the number of arrivals in a window varies by chance.
function calculateRecoveryMs(records: readonly RootRecord[], {startMs, pressureStartMs, pressureEndMs, untilMs}: Phases): number {
	const before = records.filter(({arrivedMs}) => arrivedMs >= startMs + (2 * WINDOW_MS) && arrivedMs < pressureStartMs - WINDOW_MS);
	const promptMs = PROMPT_FACTOR * percentile(before.map(record => latencyOf(record)), 0.99);
	const isPromptlyComplete = (record: RootRecord) => latencyOf(record) <= promptMs;
	const earlierShare = before.filter(record => isPromptlyComplete(record)).length / before.length;
	const after = records.filter(({arrivedMs}) => arrivedMs >= pressureEndMs).toSorted((a, b) => a.arrivedMs - b.arrivedMs);
	const arrivals = after.map(({arrivedMs}) => arrivedMs);
	const promptlyComplete = after.filter(record => isPromptlyComplete(record)).map(({arrivedMs}) => arrivedMs);
	const countInWindow = (values: readonly number[], fromMs: number) => lowerBound(values, fromMs + WINDOW_MS) - lowerBound(values, fromMs);
	let recoveredSinceMs: number | undefined;
	for (let atMs = pressureEndMs; atMs + WINDOW_MS <= untilMs; atMs += WINDOW_STEP_MS) {
		if (countInWindow(promptlyComplete, atMs) >= RECOVERED_SHARE * earlierShare * countInWindow(arrivals, atMs)) {
			recoveredSinceMs ??= atMs;
			if (atMs - recoveredSinceMs >= RECOVERY_HOLD_MS) {
				return Math.round(recoveredSinceMs - pressureEndMs);
			}
		} else {
			recoveredSinceMs = undefined;
		}
	}

	return -1;
}

function latencyOf({arrivedMs, doneMs, outcome}: RootRecord): number {
	return outcome === 'complete' && doneMs !== undefined ? doneMs - arrivedMs : Number.POSITIVE_INFINITY;
}

/** Replaces -1 (never recovered) by a time later than any other. */
export function comparableRecoveryMs(recoveryMs: number): number {
	return recoveryMs === -1 ? NEVER_RECOVERED_MS : recoveryMs;
}

function countCompletionsPerSecond(records: readonly RootRecord[], {startMs, untilMs}: Phases): number[] {
	const series = Array.from({length: Math.floor((untilMs - startMs) / WINDOW_MS)}, () => 0);
	for (const {doneMs, outcome} of records) {
		const at = doneMs === undefined ? -1 : Math.floor((doneMs - startMs) / WINDOW_MS);
		if (outcome === 'complete' && at >= 0 && at < series.length) {
			series[at]++;
		}
	}

	return series;
}

function calculateFairness(records: readonly RootRecord[]): number {
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

function countRetries(site: FakeSite): number {
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
