import {type HostEntry} from '../membership/host.js';
import {GroupLoad, fade} from './groupload.js';
import {type HostState, createHostState} from './hoststate.js';
import {type LoadBalancerOptions} from './loadbalanceroptions.js';
import {type LoadReport} from './loadreport.js';

/** What the choice of a host depends on. */
export type CallToPlace = {
	readonly route: string;
	/** How long its caller still waits, in ms. */
	readonly leftMs: number;
	/** The hosts that the request was sent to before. */
	readonly tried: readonly string[];
};
type Candidate = {
	readonly entry: HostEntry;
	readonly cost: number;
	/** The cost with a random addition. */
	readonly noisyCost: number;
	/** The cost if the random addition is the highest, unless the load is known. */
	readonly crossingCost: number;
	readonly reportedAtMs: number;
};
/** The best targets so far in the daemon's own failure domain and in the others, and the one that nothing was heard of for longest. */
type Best = {near: Candidate | undefined; far: Candidate | undefined; unheard: Candidate | undefined};
type Comparison = {readonly best: Best; readonly call: CallToPlace; readonly nowMs: number; readonly isExcluded: (entry: HostEntry) => boolean};
type DomainSplit = {readonly near: HostEntry[]; readonly far: HostEntry[]};

/** How long a target counts as slow after its daemon said so, in ms; then it gets calls again, which show whether it still is. */
const SLOWNESS_TTL_MS = 2500;
/** How long a load report counts, in ms: a few heartbeats of a busy queue. */
const REPORT_TTL_MS = 2000;
/** Weight of one outcome in the moving mean of failures. */
const FAILURE_WEIGHT = 0.08;
/** Half-life of a target's failure share, in ms. */
const FAILURE_HALF_LIFE_MS = 1500;
/** Growth of the cost factor per unit of load above the busy share. */
const LOAD_SLOPE = 3;
/** How long a host is avoided after it was first found unreachable, in ms; doubles each further time. */
const MIN_AVOID_MS = 400;
/** Upper limit of that time, in ms. */
const MAX_AVOID_MS = 1600;
/** How long a host is chosen last after its daemon announced a shutdown, in ms: covers the shutdown and a restart. */
const DRAINING_MS = 4000;
/** Cost of a target that drains, or whose daemon shuts down, in ms: more than any caller waits, so that it is used only if there is no other. */
const DRAINING_COST_MS = 1e8;
/** Cost of an unreachable host, in ms: more than that of one that drains. */
const UNREACHABLE_COST_MS = 1e10;
/** Expected time of a call of a route that no target has reported, in ms. */
const DEFAULT_SERVICE_MS = 30;
/** Weight of one report in the mean time of a route over all targets. */
const ROUTE_MEAN_WEIGHT = 0.1;
/** Weight of one report in the comparison of a target with all others. */
const RELATIVE_TIME_WEIGHT = 0.3;
/** Half-life of a target's reported load, in ms; after it, the mean of its group counts for more. */
const LOAD_HALF_LIFE_MS = 1000;
/** Half-life of how a target's times differ from those of the others, in ms, while nothing is heard of it. */
const SPEED_HALF_LIFE_MS = 5000;
/** Services of up to this many targets are compared whole. */
const MAX_COMPARED = 12;
/** Targets drawn in the daemon's own failure domain, and in the others, when a service has more. */
const NEAR_DRAWS = 8;
const FAR_DRAWS = 4;
/** One call in about this many goes to a target that nothing was heard of for a while, which may have become fast. */
const PROBE_INTERVAL = 300;
/** Share of a caller's time that a call to a target of which nothing was heard may take: the rest suffices for another target. */
const PROBE_TIME_SHARE = 0.5;
/** Maximum random addition to the cost of a target that has joined and not been heard of, as a share of it: it may be cold, and all daemons find it idle. */
const JOINED_JITTER = 3;
/** How long after its first choice a daemon takes the targets that it sees for ones that were there before, in ms. */
const SETTLING_MS = 5000;
/** Maximum random addition to the cost of a target whose load is known, as a share of it: daemons with the same load reports don't all choose the same target. */
const COST_JITTER = 0.1;

/**
 * Chooses the host of each call by the time after which its caller is expected to have the answer:
 * that of the run there, of what waits, of the way, and of what a failure would cost it.
 * Handles the load patterns in which one instance is slow among fast ones, one
 * fills up while instances in other failure domains are idle, or some
 * instances fail part of their calls.
 */
export class LoadBalancer {
	readonly #failureDomain: string;
	readonly #options: LoadBalancerOptions;
	readonly #random: () => number;
	readonly #hosts = new Map<string, HostState>();
	/** Moving mean of the time that each route takes at the targets that have reported it, in ms. */
	readonly #routeMeansMs = new Map<string, number>();
	readonly #groups = new Map<string, GroupLoad>();
	/** The targets of a service by failure domain, for each list that was chosen from. */
	readonly #splits = new WeakMap<readonly HostEntry[], DomainSplit>();

	#choicesUntilProbe = PROBE_INTERVAL;
	#firstChoiceMs: number | undefined;

	constructor(failureDomain: string, options: LoadBalancerOptions, random: () => number) {
		this.#failureDomain = failureDomain;
		this.#options = options;
		this.#random = random;
	}

	/**
	 * Compares the targets, or a sample of them, drawn anew for each call, if there are many. Daemons that hear of one idle
	 * target then don't all choose it, and a choice costs the same for a service of any size.
	 * @param isExcluded tells which targets get no calls any more
	 * @returns the host with the lowest cost among those not yet tried; an unreachable one only if there is no other
	 */
	choose(entries: readonly HostEntry[], call: CallToPlace, nowMs: number, isExcluded: (entry: HostEntry) => boolean = () => false): HostEntry | undefined {
		this.#firstChoiceMs ??= nowMs;
		const best: Best = {near: undefined, far: undefined, unheard: undefined};
		if (entries.length > MAX_COMPARED) {
			const {near, far} = this.#domainsOf(entries);
			this.#compareDrawn(near, NEAR_DRAWS, {
				best, call, nowMs, isExcluded,
			});
			this.#compareDrawn(far, near.length === 0 ? NEAR_DRAWS : FAR_DRAWS, {
				best, call, nowMs, isExcluded,
			});
			const drawn = this.#decide(best, true);
			if (drawn !== undefined && drawn.cost < DRAINING_COST_MS) {
				return drawn.entry;
			}
		}

		for (const entry of entries) {
			this.#compare(entry, {
				best, call, nowMs, isExcluded,
			});
		}

		return this.#decide(best, false)?.entry;
	}

	onSent(host: string): void {
		this.#hostState(host).inFlight++;
	}

	/** Counts a call as no longer in flight, whatever its outcome. */
	onEnded(host: string): void {
		const state = this.#hostState(host);
		state.inFlight = Math.max(0, state.inFlight - 1);
	}

	onReport(host: string, route: string, report: LoadReport, nowMs: number): void {
		const state = this.#hostState(host);
		state.report = report;
		state.reportedAtMs = nowMs;
		state.inFlightAtReport = state.inFlight;
		if (state.group !== undefined && report.limit > 0) {
			state.group.record((report.running + report.queued) / report.limit, nowMs);
		}

		if (report.serviceMs > 0) {
			state.serviceMs.set(route, report.serviceMs);
			const meanMs = this.#routeMeansMs.get(route) ?? report.serviceMs;
			this.#routeMeansMs.set(route, meanMs + ((report.serviceMs - meanMs) * ROUTE_MEAN_WEIGHT));
			state.relativeTime += ((report.serviceMs / Math.max(1, meanMs)) - state.relativeTime) * RELATIVE_TIME_WEIGHT;
		}
	}

	/** @param failed whether the target itself failed the call */
	onOutcome(host: string, failed: boolean, nowMs: number): void {
		const state = this.#hostState(host);
		state.failureShare = (this.#ownFailureShareOf(state, nowMs) * (1 - FAILURE_WEIGHT)) + (failed ? FAILURE_WEIGHT : 0);
		state.failureShareAtMs = nowMs;
		if (!failed) {
			state.unreachableCount = 0;
			state.unreachableUntilMs = 0;
		}
	}

	/** Avoids a host for a while that is unreachable or has no target to run the call. */
	markUnreachable(host: string, nowMs: number): void {
		const state = this.#hostState(host);
		state.unreachableUntilMs = nowMs + Math.min(MIN_AVOID_MS * (2 ** state.unreachableCount), MAX_AVOID_MS);
		state.unreachableCount = Math.min(state.unreachableCount + 1, 8);
	}

	/** Avoids a host whose daemon shuts down; it still serves for a while. */
	markDraining(host: string, nowMs: number): void {
		this.#hostState(host).drainingUntilMs = nowMs + DRAINING_MS;
	}

	/** Notes what the host's daemon says of its target: by what factor it is slower than usual, or 1 if it is no longer slow. */
	onSlowness(host: string, slowness: number, nowMs: number): void {
		const state = this.#hostState(host);
		if (slowness === 1 || nowMs - state.slownessHeardMs >= SLOWNESS_TTL_MS) {
			// The times reported before tell nothing of the present ones.
			state.serviceMs.clear();
			state.relativeTime = 1;
		}

		state.slowness = slowness;
		state.slownessHeardMs = nowMs;
	}

	/** Stops avoiding a host, as news from it shows that it is usable again. */
	clearMarks(host: string): void {
		this.#hostState(host).drainingUntilMs = 0;
		this.markReachable(host);
	}

	/** Stops avoiding a host as unreachable, as it was heard; it may be shutting down all the same. */
	markReachable(host: string): void {
		const state = this.#hostState(host);
		state.unreachableUntilMs = 0;
		state.unreachableCount = 0;
	}

	isMarkedUnreachable(host: string, nowMs: number): boolean {
		return (this.#hosts.get(host)?.unreachableUntilMs ?? 0) > nowMs;
	}

	/** The mean time that a call of the route takes at the targets that have reported it, in ms. */
	usualMs(route: string): number {
		return this.#routeMeansMs.get(route) ?? DEFAULT_SERVICE_MS;
	}

	/** The share of the host's concurrency limit that is in use, as far as is known; above 1 when calls wait. */
	loadOf(entry: HostEntry, nowMs: number): number {
		const state = this.#hostState(entry.host);
		const limit = state.report.limit > 0 ? state.report.limit : (entry.target?.slots ?? 1);
		const isFresh = nowMs - state.reportedAtMs < REPORT_TTL_MS;
		const reported = isFresh ? state.report.running + state.report.queued + state.inFlight - state.inFlightAtReport : state.inFlight;
		return Math.max(reported, state.inFlight) / limit;
	}

	/** Forgets the hosts that are gone, also those that the end of a call has brought back since. */
	retain(isKnown: (host: string) => boolean): void {
		for (const host of this.#hosts.keys()) {
			if (!isKnown(host)) {
				this.#hosts.delete(host);
			}
		}
	}

	/** The number of hosts of which something is kept. */
	get size(): number {
		return this.#hosts.size;
	}

	#domainsOf(entries: readonly HostEntry[]): DomainSplit {
		let split = this.#splits.get(entries);
		if (split === undefined) {
			split = {near: [], far: []};
			for (const entry of entries) {
				split[entry.failureDomain === this.#failureDomain ? 'near' : 'far'].push(entry);
			}

			this.#splits.set(entries, split);
		}

		return split;
	}

	// Draws without replacement: the drawn entries are moved to the front of the list.
	#compareDrawn(entries: HostEntry[], draws: number, comparison: Comparison): void {
		for (let index = 0; index < Math.min(draws, entries.length); index++) {
			const drawn = index + Math.floor(this.#random() * (entries.length - index));
			[entries[index], entries[drawn]] = [entries[drawn], entries[index]];
			this.#compare(entries[index], comparison);
		}
	}

	// The least of several random additions is small: among drawn targets of unknown load, it would send calls out of their failure domain without a reason.
	#decide({near, far, unheard}: Best, isDrawn: boolean): Candidate | undefined {
		if (unheard !== undefined && --this.#choicesUntilProbe <= 0) {
			this.#choicesUntilProbe = Math.ceil(PROBE_INTERVAL * (0.5 + this.#random()));
			return unheard;
		}

		return near === undefined || (far !== undefined && (isDrawn ? far.crossingCost : far.noisyCost) < near.cost) ? far : near;
	}

	#compare(entry: HostEntry, {best, call, nowMs, isExcluded}: Comparison): void {
		if (entry.target === undefined || call.tried.includes(entry.host) || isExcluded(entry)) {
			return;
		}

		const {reportedAtMs, joinedMs} = this.#updateTarget(entry.host, entry.target.id, nowMs);
		const cost = this.#cost(entry, call, nowMs);
		const isKnown = nowMs - reportedAtMs < REPORT_TTL_MS;
		const {unknownLoadJitter} = this.#options;
		const unheardJitter = reportedAtMs < joinedMs ? JOINED_JITTER : unknownLoadJitter;
		const noisyCost = cost * (1 + ((isKnown ? COST_JITTER : unheardJitter) * this.#random()));
		const side = entry.failureDomain === this.#failureDomain ? 'near' : 'far';
		const candidate = {
			entry, cost, noisyCost, reportedAtMs, crossingCost: isKnown ? noisyCost : cost * (1 + unknownLoadJitter),
		};
		if (noisyCost < (best[side]?.noisyCost ?? Number.POSITIVE_INFINITY)) {
			best[side] = candidate;
		}

		if (side === 'near' && !isKnown && cost < call.leftMs * PROBE_TIME_SHARE && reportedAtMs < (best.unheard?.reportedAtMs ?? Number.POSITIVE_INFINITY)) {
			best.unheard = candidate;
		}
	}

	// What was heard of a target before says nothing of the one that has taken its place.
	#updateTarget(host: string, targetId: string, nowMs: number): HostState {
		const state = this.#hostState(host);
		if (state.targetId !== targetId) {
			const isFirst = state.targetId === '';
			state.targetId = targetId;
			if (!isFirst) {
				state.serviceMs.clear();
				state.relativeTime = 1;
				state.failureShare = 0;
			}

			if (!isFirst || nowMs - this.#firstChoiceMs! > SETTLING_MS) {
				state.joinedMs = nowMs;
			}
		}

		return state;
	}

	#cost(entry: HostEntry, {route, leftMs}: CallToPlace, nowMs: number): number {
		const state = this.#hostState(entry.host);
		const {busyShare, crossDomainMs, crossDomainMargin} = this.#options;
		const serviceMs = this.#expectedMs(state, route, nowMs);
		const load = this.#expectedLoad(entry, state, nowMs);
		let cost = serviceMs * (1 + (LOAD_SLOPE * Math.max(0, load - busyShare)) + Math.max(0, load - 1));
		if (entry.failureDomain !== this.#failureDomain) {
			cost += crossDomainMs + (crossDomainMargin * serviceMs);
		}

		// A call that fails costs its caller the time that it has left.
		cost += this.#failureShareOf(state, nowMs) * leftMs;
		if (entry.target?.state === 'draining' || state.drainingUntilMs > nowMs) {
			cost += DRAINING_COST_MS;
		}

		if (state.unreachableUntilMs > nowMs) {
			cost += UNREACHABLE_COST_MS;
		}

		return cost;
	}

	// What was heard of this target fades to what is heard of its group, because the news of one of many targets is old.
	#expectedLoad(entry: HostEntry, state: HostState, nowMs: number): number {
		const {service, slots} = entry.target!;
		if (state.group === undefined) {
			const key = `${service} ${entry.failureDomain}`;
			state.group = this.#groups.get(key) ?? new GroupLoad(this.#options.busyShare);
			this.#groups.set(key, state.group);
		}

		const {report} = state;
		const limit = report.limit > 0 ? report.limit : slots;
		const groupLoad = state.group.expected(nowMs);
		const isHeard = report.limit > 0;
		const heardLoad = isHeard ? (report.running + report.queued + state.inFlight - state.inFlightAtReport) / limit : groupLoad;
		const weight = isHeard ? fade(nowMs - state.reportedAtMs, LOAD_HALF_LIFE_MS) : 0;
		return Math.max((heardLoad * weight) + ((groupLoad + (state.inFlight / limit)) * (1 - weight)), state.inFlight / limit);
	}

	#expectedMs(state: HostState, route: string, nowMs: number): number {
		const isSlow = state.slowness > 1 && nowMs - state.slownessHeardMs < SLOWNESS_TTL_MS;
		const meanMs = this.usualMs(route);
		const heardMs = state.serviceMs.get(route) ?? meanMs * state.relativeTime;
		// A target that was slow when it was heard of last, cold for instance, isn't avoided for good.
		const reportedMs = meanMs + ((heardMs - meanMs) * fade(nowMs - state.reportedAtMs, SPEED_HALF_LIFE_MS));
		return isSlow ? Math.max(reportedMs, meanMs * state.slowness) : reportedMs;
	}

	// The daemon beside a target sees all of its runs, this one only those that it asked for.
	#failureShareOf(state: HostState, nowMs: number): number {
		const {failureShare = 0} = state.report;
		const reported = failureShare === 0 ? 0 : failureShare * fade(nowMs - state.reportedAtMs, FAILURE_HALF_LIFE_MS);
		return Math.max(this.#ownFailureShareOf(state, nowMs), reported);
	}

	#ownFailureShareOf(state: HostState, nowMs: number): number {
		return state.failureShare === 0 ? 0 : state.failureShare * (0.5 ** ((nowMs - state.failureShareAtMs) / FAILURE_HALF_LIFE_MS));
	}

	#hostState(host: string): HostState {
		let state = this.#hosts.get(host);
		if (state === undefined) {
			state = createHostState();
			this.#hosts.set(host, state);
		}

		return state;
	}
}
