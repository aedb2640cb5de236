import {type HostEntry, type HostTable} from './host.js';
import {type LoadBalancer} from './loadbalancer.js';
import {type RetryBudget} from './retrybudget.js';
import {type Route} from './route.js';

/** Targets that a request may be refused by before it is refused itself. */
const MAX_REFUSALS = 4;
/** A second send needs this part of the objective still left: with less, it would be a token. */
const RESEND_SHARE = 0.3;
export type AttemptsParts = {
	readonly hosts: HostTable;
	readonly loadBalancer: LoadBalancer;
	readonly retryBudget: RetryBudget;
	/** Told of each second send that was wanted. */
	readonly onBudget: (errand: RequestToPlace, isGranted: boolean) => void;
};

/** What is to be placed. */
export type RequestToPlace = {
	readonly attemptId: string;
	readonly route: Route;
	readonly service: string;
	/** Whether it is made for a run that was itself sent again. */
	readonly isForRetriedRun: boolean;
	/** The standing of its root. */
	readonly level: number;
};

/** The time that a request has. */
export type TimeLimits = {readonly deadlineMs: number; readonly objectiveEndMs: number};

/** Why a host didn't run a call: for want of room, and whether its target saw it. */
export type HostRefusal = {readonly isForLoad: boolean; readonly reachedTarget: boolean};

/**
 * Where one request has been and may still go.
 * Load pattern: refusals and lost answers at some copies while others have room.
 */
export class Attempts {
	readonly #parts: AttemptsParts;
	readonly #errand: RequestToPlace;
	readonly #allowance: TimeLimits;
	readonly #tried: string[] = [];
	#sends = 0;
	#refusals = 0;

	constructor(parts: AttemptsParts, errand: RequestToPlace, allowance: TimeLimits) {
		this.#parts = parts;
		this.#errand = errand;
		this.#allowance = allowance;
	}

	/** The host that has the request now, or had it last; empty before the first. */
	get host(): string {
		return this.#tried.at(-1) ?? '';
	}

	get count(): number {
		return this.#tried.length;
	}

	/** Whether a target may see the request for a second time. */
	get mayBeDuplicate(): boolean {
		return this.#errand.isForRetriedRun || this.#sends > 0;
	}

	/** Chooses the next host and counts on the request being sent there. */
	chooseNextHost(nowMs: number): HostEntry | undefined {
		const {hosts, loadBalancer: placement, retryBudget: budget} = this.#parts;
		const {route, service, isForRetriedRun: isRepeat} = this.#errand;
		const entry = placement.choose(hosts.serving(service), route.name, route.objectiveMs, this.#tried, nowMs);
		if (entry !== undefined) {
			if (this.#tried.length === 0) {
				budget.recordFirstSend(service, nowMs);
				if (isRepeat) {
					budget.chargeRetriedRun(service, nowMs);
				}
			}

			this.#tried.push(entry.host);
			placement.onSent(entry.host);
		}

		return entry;
	}

	/** A host has refused it unrun. @returns whether it may go to another; the budget is then spent */
	mayTryAnotherHost({isForLoad, reachedTarget}: HostRefusal, nowMs: number): boolean {
		this.#refusals++;
		this.#sends += reachedTarget ? 1 : 0;
		return this.#refusals < MAX_REFUSALS && nowMs < this.#allowance.deadlineMs && this.#hasRoomElsewhere(isForLoad, nowMs)
			&& (!reachedTarget || (this.#sends < this.#errand.route.attempts && this.#spend(nowMs)));
	}

	/** A target may have run it. @returns whether it may go to another; the budget is then spent */
	mayResend(nowMs: number): boolean {
		const {isForRetriedRun: isRepeat, route: {objectiveMs, attempts, repeatability}} = this.#errand;
		const leftMs = Math.min(this.#allowance.deadlineMs, this.#allowance.objectiveEndMs) - nowMs;
		const may = repeatability === 'safe' && !isRepeat && this.#sends + 1 < attempts
			&& leftMs > objectiveMs * RESEND_SHARE && this.#hasRoomElsewhere(false, nowMs) && this.#spend(nowMs);
		this.#sends += may ? 1 : 0;
		return may;
	}

	#spend(nowMs: number): boolean {
		const {service, level} = this.#errand;
		const isGranted = this.#parts.retryBudget.spend(service, level, nowMs);
		this.#parts.onBudget(this.#errand, isGranted);
		return isGranted;
	}

	#hasRoomElsewhere(isForLoad: boolean, nowMs: number): boolean {
		const {hosts, loadBalancer: placement} = this.#parts;
		return hosts.serving(this.#errand.service).some(entry => !this.#tried.includes(entry.host)
			&& !placement.isMarkedUnreachable(entry.host, nowMs) && (!isForLoad || placement.loadOf(entry, nowMs) < 1));
	}
}
