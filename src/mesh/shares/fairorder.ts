import {type BudgetLimit} from './budget.js';

/** How long what was asked for counts after it was heard, in ms: some intervals of reports, also in a large fleet. */
const DEMAND_TTL_MS = 5000;
/** The time between two computations of the order, in ms; demand is heard about as often. */
const UPDATE_INTERVAL_MS = 250;

type Heard = {readonly askedPerS: number; readonly heardMs: number};
/** Budgets that are asked for the same multiple of their limit, and those below: what they ask for, and the limits of those above. */
type Step = {readonly ratio: number; readonly askedBelowPerS: number; readonly limitAbovePerS: number};

/**
 * Orders the requests of one rank so that, wherever the order is cut, each
 * organisation keeps what it asks for up to the same multiple of its limit:
 * who asks for many times its share loses the excess before the others lose
 * anything.
 * Handles the load pattern in which one organisation takes the room that others
 * need, without being over its quota, spread over so many daemons that none sees it.
 */
export class FairOrder {
	#limits: ReadonlyMap<string, BudgetLimit> = new Map();
	#limitPerS = 0;
	/** What all daemons together are asked for, by budget. */
	readonly #demands = new Map<string, Heard>();
	/** The same over all budgets of an accountant, by its host. */
	readonly #totals = new Map<string, Heard>();
	#steps: readonly Step[] = [];
	#askedPerS = 0;
	#restRatio = 1;
	#updatedMs = Number.NEGATIVE_INFINITY;

	setLimits(limits: ReadonlyMap<string, BudgetLimit>): void {
		this.#limits = limits;
		this.#limitPerS = [...limits.values()].reduce((sum, {ratePerS}) => sum + ratePerS, 0);
		this.#updatedMs = Number.NEGATIVE_INFINITY;
	}

	/** Notes what all daemons together are asked for. */
	onDemand(budget: string, askedPerS: number, nowMs: number): void {
		this.#demands.set(budget, {askedPerS, heardMs: nowMs});
	}

	/** Notes the same over all budgets of an accountant. */
	onTotal(accountant: string, askedPerS: number, nowMs: number): void {
		this.#totals.set(accountant, {askedPerS, heardMs: nowMs});
	}

	/**
	 * The place of a request among all of its rank, from 0 for the first to be refused to 1.
	 * @param chance a random number from 0 to 1, which is the place if nothing is known
	 */
	placeOf(budget: string, chance: number, nowMs: number): number {
		const limit = this.#limits.get(budget);
		if (limit === undefined) {
			return chance;
		}

		if (nowMs - this.#updatedMs >= UPDATE_INTERVAL_MS) {
			this.#updatedMs = nowMs;
			this.#update(nowMs);
		}

		if (this.#askedPerS <= 0) {
			return chance;
		}

		const demand = this.#demands.get(budget);
		const ratio = demand === undefined ? this.#restRatio : demand.askedPerS / limit.ratePerS;
		return 1 - this.#shareUpTo((1 - chance) * ratio);
	}

	/** The share of all requests that remains if each budget keeps at most this multiple of its limit. */
	#shareUpTo(multiple: number): number {
		let low = 0;
		let high = this.#steps.length - 1;
		while (low < high) {
			const middle = Math.ceil((low + high) / 2);
			if (this.#steps[middle].ratio <= multiple) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		const {askedBelowPerS, limitAbovePerS} = this.#steps[low];
		return Math.min(1, (askedBelowPerS + (multiple * limitAbovePerS)) / this.#askedPerS);
	}

	#update(nowMs: number): void {
		this.#forgetOld(this.#demands, nowMs);
		this.#forgetOld(this.#totals, nowMs);
		const known = [...this.#demands].flatMap(([budget, {askedPerS}]) => {
			const limit = this.#limits.get(budget);
			return limit === undefined ? [] : [{askedPerS, limitPerS: limit.ratePerS}];
		});
		const sum = (values: Iterable<{askedPerS: number}>) => [...values].reduce((total, {askedPerS}) => total + askedPerS, 0);
		const knownPerS = sum(known);
		const restPerS = Math.max(0, sum(this.#totals.values()) - knownPerS);
		const restLimitPerS = Math.max(0, this.#limitPerS - known.reduce((total, {limitPerS}) => total + limitPerS, 0));
		this.#askedPerS = knownPerS + restPerS;
		this.#restRatio = restLimitPerS > 0 ? restPerS / restLimitPerS : 1;
		const all = [...known, {askedPerS: restPerS, limitPerS: restLimitPerS}]
			.filter(({limitPerS}) => limitPerS > 0)
			.map(({askedPerS, limitPerS}) => ({ratio: askedPerS / limitPerS, askedPerS, limitPerS}))
			.toSorted((a, b) => a.ratio - b.ratio);
		let askedBelowPerS = 0;
		let limitAbovePerS = all.reduce((total, {limitPerS}) => total + limitPerS, 0);
		this.#steps = [{ratio: Number.NEGATIVE_INFINITY, askedBelowPerS, limitAbovePerS}, ...all.map(({ratio, askedPerS, limitPerS}) => {
			askedBelowPerS += askedPerS;
			limitAbovePerS -= limitPerS;
			return {ratio, askedBelowPerS, limitAbovePerS};
		})];
	}

	#forgetOld(heard: Map<string, Heard>, nowMs: number): void {
		for (const [name, {heardMs}] of heard) {
			if (nowMs - heardMs > DEMAND_TTL_MS) {
				heard.delete(name);
			}
		}
	}
}
