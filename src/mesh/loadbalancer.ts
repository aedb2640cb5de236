import {type HostEntry} from './host.js';

/** What an owner tells of its target with each answer. */
export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** How many calls the owner runs at once. */
	readonly limit: number;
	/** The mean time of this route's calls at the target, in ms; 0 when unknown. */
	readonly serviceMs: number;
};

/** Costs of placing a call elsewhere, as settings. */
export type LoadBalancerOptions = {
	/** What crossing to another failure domain adds to a call's cost at least, in ms. */
	readonly crossDomainCostMs: number;
	/** The same as a part of the call's objective: an answer that is early earns nothing more. */
	readonly crossDomainCostShare: number;
	/** The share of its limit from which a target counts as filling up. */
	readonly busyShare: number;
};

/** The costs that the daemons place by. */
export const LOAD_BALANCING: LoadBalancerOptions = {
	// From the price of bytes between failure domains.
	crossDomainCostMs: 60,
	// A copy that is slow but in time keeps the calls of its own failure domain.
	crossDomainCostShare: 0.15,
	busyShare: 0.6,
};

type View = {
	report: LoadReport;
	atMs: number;
	/** Own calls in flight there. */
	inFlight: number;
	/** Own calls in flight when the report came. */
	inFlightAtReport: number;
	serviceMs: Map<string, number>;
	/** Shares of calls that failed there, as a moving mean. */
	failures: number;
	failuresAtMs: number;
	suspectUntilMs: number;
	suspicions: number;
	leavingUntilMs: number;
};

/** How long a report says something of a target's load, in ms: a few heartbeats of a busy queue. */
const REPORT_LIFE_MS = 2000;
/** The weight of one outcome in the mean of failures. */
const FAILURE_WEIGHT = 0.08;
/** Time in which half of what is held against a target is forgotten, in ms. */
const FORGIVE_HALF_MS = 1500;
/** Cost of a certain failure in units of the call's objective. */
const FAILURE_COST = 4;
/** How steeply cost grows with a target's load beyond its full share. */
const LOAD_SLOPE = 3;
/** How long an unreachable target is avoided after the first failure, in ms; doubles with each. */
const SUSPECT_MS = 400;
const MAX_SUSPECT_MS = 1600;
/** How long a host that said it stops is chosen last, in ms: its stop and its start again. */
const LEAVING_MS = 4000;
/** What a target that leaves, or whose daemon stops, costs in units of the call's objective: it is used if there is no other. */
const LEAVING_COST = 10;
/** The same for one that can't be reached. */
const SUSPECT_COST = 100;
/** Expected time of a call of which nothing is known, in ms. */
const UNKNOWN_SERVICE_MS = 30;
/** Random spread of costs, so that daemons with the same view don't all choose the same target. */
const JITTER = 0.1;

/**
 * Chooses the target of each call by the time it is expected to take there.
 * Load patterns: one slow copy among fast ones, a copy that fills up beside
 * idle ones in other failure domains, copies that fail part of their calls.
 */
export class LoadBalancer {
	readonly #failureDomain: string;
	readonly #options: LoadBalancerOptions;
	readonly #random: () => number;
	readonly #views = new Map<string, View>();

	constructor(failureDomain: string, options: LoadBalancerOptions, random: () => number) {
		this.#failureDomain = failureDomain;
		this.#options = options;
		this.#random = random;
	}

	/** @returns the cheapest host of those not yet tried; a suspect one only if there is no other */
	choose(entries: readonly HostEntry[], route: string, objectiveMs: number, tried: readonly string[], nowMs: number): HostEntry | undefined {
		let best: HostEntry | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const entry of entries) {
			if (entry.target === undefined || tried.includes(entry.host)) {
				continue;
			}

			const cost = this.#cost(entry, route, objectiveMs, nowMs) * (1 + (JITTER * this.#random()));
			if (cost < bestCost) {
				best = entry;
				bestCost = cost;
			}
		}

		return best;
	}

	onSent(host: string): void {
		this.#view(host).inFlight++;
	}

	/** A call has ended there, by whatever outcome. */
	onEnded(host: string): void {
		const view = this.#view(host);
		view.inFlight = Math.max(0, view.inFlight - 1);
	}

	onReport(host: string, route: string, report: LoadReport, nowMs: number): void {
		const view = this.#view(host);
		view.report = report;
		view.atMs = nowMs;
		view.inFlightAtReport = view.inFlight;
		if (report.serviceMs > 0) {
			view.serviceMs.set(route, report.serviceMs);
		}
	}

	/** @param failed whether the target itself failed the call */
	onOutcome(host: string, failed: boolean, nowMs: number): void {
		const view = this.#view(host);
		view.failures = (this.#failuresOf(view, nowMs) * (1 - FAILURE_WEIGHT)) + (failed ? FAILURE_WEIGHT : 0);
		view.failuresAtMs = nowMs;
		if (!failed) {
			view.suspicions = 0;
			view.suspectUntilMs = 0;
		}
	}

	/** The host can't be reached or has no target to serve with: it is avoided for a while. */
	markUnreachable(host: string, nowMs: number): void {
		const view = this.#view(host);
		view.suspectUntilMs = nowMs + Math.min(SUSPECT_MS * (2 ** view.suspicions), MAX_SUSPECT_MS);
		view.suspicions = Math.min(view.suspicions + 1, 8);
	}

	/** The host's daemon stops; it still serves for a while. */
	markDraining(host: string, nowMs: number): void {
		this.#view(host).leavingUntilMs = nowMs + LEAVING_MS;
	}

	/** A new word of the host makes it usable again. */
	clearMarks(host: string): void {
		const view = this.#view(host);
		view.leavingUntilMs = 0;
		view.suspectUntilMs = 0;
		view.suspicions = 0;
	}

	isMarkedUnreachable(host: string, nowMs: number): boolean {
		return (this.#views.get(host)?.suspectUntilMs ?? 0) > nowMs;
	}

	/** The part of the host's limit in use, as far as is known. */
	loadOf(entry: HostEntry, nowMs: number): number {
		const view = this.#view(entry.host);
		const limit = view.report.limit > 0 ? view.report.limit : (entry.target?.slots ?? 1);
		const isFresh = nowMs - view.atMs < REPORT_LIFE_MS;
		const reported = isFresh ? view.report.running + view.report.queued + view.inFlight - view.inFlightAtReport : view.inFlight;
		return Math.max(reported, view.inFlight) / limit;
	}

	forget(host: string): void {
		this.#views.delete(host);
	}

	#cost(entry: HostEntry, route: string, objectiveMs: number, nowMs: number): number {
		const view = this.#view(entry.host);
		const serviceMs = view.serviceMs.get(route) ?? UNKNOWN_SERVICE_MS;
		const load = this.loadOf(entry, nowMs);
		let cost = serviceMs * (1 + (LOAD_SLOPE * Math.max(0, load - this.#options.busyShare)));
		if (load > 1) {
			cost += objectiveMs * (load - 1);
		}

		if (entry.failureDomain !== this.#failureDomain) {
			cost += Math.max(this.#options.crossDomainCostMs, this.#options.crossDomainCostShare * objectiveMs);
		}

		cost += this.#failuresOf(view, nowMs) * FAILURE_COST * objectiveMs;
		if (entry.target?.state === 'draining' || view.leavingUntilMs > nowMs) {
			cost += LEAVING_COST * objectiveMs;
		}

		if (view.suspectUntilMs > nowMs) {
			cost += SUSPECT_COST * objectiveMs;
		}

		return cost;
	}

	#failuresOf(view: View, nowMs: number): number {
		return view.failures * (0.5 ** ((nowMs - view.failuresAtMs) / FORGIVE_HALF_MS));
	}

	#view(host: string): View {
		let view = this.#views.get(host);
		if (view === undefined) {
			view = {
				report: {
					running: 0, queued: 0, limit: 0, serviceMs: 0,
				},
				atMs: Number.NEGATIVE_INFINITY,
				inFlight: 0,
				inFlightAtReport: 0,
				serviceMs: new Map(),
				failures: 0,
				failuresAtMs: 0,
				suspectUntilMs: 0,
				suspicions: 0,
				leavingUntilMs: 0,
			};
			this.#views.set(host, view);
		}

		return view;
	}
}
