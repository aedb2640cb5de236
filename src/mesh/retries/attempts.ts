import {chooseByRendezvous} from '../../core/index.js';
import {type HostEntry, type HostTable} from '../membership/host.js';
import {type LoadBalancer} from '../balancing/loadbalancer.js';
import {type LoadReport} from '../balancing/loadreport.js';
import {type Route} from '../routing/route.js';
import {type TargetSignals} from '../membership/targetsignals.js';
import {type TargetSignalTable} from '../membership/targetsignaltable.js';
import {type RetryBudget} from './retrybudget.js';

/** Number of hosts that may refuse a request before the request itself is refused. */
const MAX_REFUSALS = 4;
/** Number of targets that may crash while they run a request before it isn't sent again. */
const MAX_CRASHES = 2;
export type AttemptsParts = {
	readonly hosts: HostTable;
	readonly loadBalancer: LoadBalancer;
	readonly retryBudget: RetryBudget;
	readonly targetSignals: TargetSignalTable;
	/** Whether the host's target is known to have crashed. */
	readonly hasCrashed: (entry: HostEntry) => boolean;
	/** Called when a target says something else of itself than before. */
	readonly onTargetSignals: (host: string, signals: TargetSignals) => void;
	/** Called each time a retry asks for budget, with whether the budget granted it. */
	readonly onBudget: (request: RequestToPlace, isGranted: boolean) => void;
};

/** A request for which a host is to be chosen. */
export type RequestToPlace = {
	readonly attemptId: string;
	readonly route: Route;
	readonly service: string;
	/** Whether the request is a call made by a run that is itself a retry. */
	readonly isForRetriedRun: boolean;
	/** Priority level of the root request. */
	readonly level: number;
};

/** How a host refused a call: whether for lack of capacity, and whether its target has received the call. */
export type HostRefusal = {readonly isForLoad: boolean; readonly reachedTarget: boolean};

/**
 * Tracks the hosts that one request was sent to and decides whether it may be retried at another.
 * Handles the load pattern in which some instances of a service refuse calls
 * or lose answers while others have free capacity.
 */
export class Attempts {
	readonly #parts: AttemptsParts;
	readonly #request: RequestToPlace;
	/** When the request must be answered at the latest, in ms. */
	readonly #deadlineMs: number;
	readonly #triedHosts: string[] = [];
	#entry: HostEntry | undefined;
	/** Sends that reached a target or may have reached one. */
	#sends = 0;
	#refusals = 0;
	#crashes = 0;

	/** @param deadlineMs when the request must be answered at the latest, in ms */
	constructor(parts: AttemptsParts, request: RequestToPlace, deadlineMs: number) {
		this.#parts = parts;
		this.#request = request;
		this.#deadlineMs = deadlineMs;
	}

	/** The host that the request was sent to last; empty before the first. */
	get host(): string {
		return this.#triedHosts.at(-1) ?? '';
	}

	/** The rate limit that the target of that host is known to have named, in requests per second. */
	get rateLimitPerS(): number | undefined {
		return this.#entry && this.#parts.targetSignals.rateLimitOf(this.#entry);
	}

	get count(): number {
		return this.#triedHosts.length;
	}

	/** Whether a target may have received the request before. */
	get mayBeDuplicate(): boolean {
		return this.#request.isForRetriedRun || this.#sends > 0;
	}

	/**
	 * Chooses the next host and counts the request as in flight there.
	 * @param suspect what identifies a request that may crash targets: all daemons send it to the same one
	 */
	chooseNextHost(nowMs: number, suspect?: string): HostEntry | undefined {
		const {
			hosts, loadBalancer, retryBudget, targetSignals,
		} = this.#parts;
		const {route, service, isForRetriedRun} = this.#request;
		const call = {route: route.name, leftMs: this.#deadlineMs - nowMs, tried: this.#triedHosts};
		const entry = (suspect === undefined ? undefined : this.#chooseTogether(suspect, nowMs))
			?? loadBalancer.choose(hosts.serving(service), call, nowMs, candidate => targetSignals.hasLeft(candidate, nowMs));
		if (entry !== undefined) {
			if (this.#triedHosts.length === 0) {
				retryBudget.recordFirstSend(service, nowMs);
				if (isForRetriedRun) {
					retryBudget.chargeRetriedRun(service, nowMs);
				}
			}

			this.#triedHosts.push(entry.host);
			this.#entry = entry;
			loadBalancer.onSent(entry.host);
		}

		return entry;
	}

	/** Records the load that the last host's owner reports. */
	recordReport(report: LoadReport | undefined, nowMs: number): void {
		if (report !== undefined && this.#entry !== undefined) {
			this.#parts.loadBalancer.onReport(this.#entry.host, this.#request.route.name, report, nowMs);
		}
	}

	/** Counts the call to the last host as no longer in flight. */
	onEnded(): void {
		if (this.#entry !== undefined) {
			this.#parts.loadBalancer.onEnded(this.#entry.host);
		}
	}

	/** Records what the target of the last host said of itself in its answer. */
	recordSignals(signals: TargetSignals | undefined, nowMs: number): void {
		if (signals !== undefined && this.#entry !== undefined && this.#parts.targetSignals.record(this.#entry, signals, nowMs)) {
			this.#parts.onTargetSignals(this.#entry.host, signals);
		}
	}

	/**
	 * Records that a host refused the request without running it.
	 * @returns whether the request may go to another host; a retry is then already charged to the budget
	 */
	mayTryAnotherHost({isForLoad, reachedTarget}: HostRefusal, nowMs: number): boolean {
		this.#refusals++;
		this.#sends += reachedTarget ? 1 : 0;
		return this.#refusals < MAX_REFUSALS && nowMs < this.#deadlineMs && this.#hasCapacityElsewhere(isForLoad, nowMs)
			&& (!reachedTarget || (this.#sends < this.#request.route.attempts && this.#trySpendBudget(nowMs)));
	}

	/** Counts a crash of the target that ran the request. */
	recordCrash(): void {
		this.#crashes++;
	}

	/**
	 * Decides on a retry after a failure in which the target may have run the request: while its caller
	 * still has the time that a run takes, and within the budget.
	 * @returns whether the request may go to another host; the retry is then already charged to the budget
	 */
	mayResend(nowMs: number): boolean {
		const {isForRetriedRun, route: {name, attempts, repeatability}} = this.#request;
		const leftMs = this.#deadlineMs - nowMs;
		const isAllowed = repeatability === 'safe' && this.#crashes < MAX_CRASHES && !isForRetriedRun && this.#sends + 1 < attempts
			&& leftMs > this.#parts.loadBalancer.usualMs(name) && this.#hasCapacityElsewhere(false, nowMs) && this.#trySpendBudget(nowMs);
		this.#sends += isAllowed ? 1 : 0;
		return isAllowed;
	}

	#chooseTogether(suspect: string, nowMs: number): HostEntry | undefined {
		const {
			hosts, loadBalancer, targetSignals, hasCrashed,
		} = this.#parts;
		const candidates = targetSignals.withoutLeft(hosts.serving(this.#request.service), nowMs).filter(entry =>
			entry.target?.state === 'ready' && !this.#triedHosts.includes(entry.host) && !loadBalancer.isMarkedUnreachable(entry.host, nowMs) && !hasCrashed(entry));
		const chosen = chooseByRendezvous(suspect, candidates.map(({host}) => host));
		return candidates.find(({host}) => host === chosen);
	}

	#trySpendBudget(nowMs: number): boolean {
		const {service, level} = this.#request;
		const isGranted = this.#parts.retryBudget.spend(service, level, nowMs);
		this.#parts.onBudget(this.#request, isGranted);
		return isGranted;
	}

	#hasCapacityElsewhere(isForLoad: boolean, nowMs: number): boolean {
		const {hosts, loadBalancer, targetSignals} = this.#parts;
		return targetSignals.withoutLeft(hosts.serving(this.#request.service), nowMs).some(entry => !this.#triedHosts.includes(entry.host)
			&& !loadBalancer.isMarkedUnreachable(entry.host, nowMs) && (!isForLoad || loadBalancer.loadOf(entry, nowMs) < 1));
	}
}
