import {type Allowance, type BudgetLimit, type Usage} from './budget.js';
import {UrgentFirst} from './urgentfirst.js';

/** What a daemon may spend of a budget at once without any news of it. */
const MIN_CAPACITY = 2;
/** How much more than its recent spending a daemon may spend in one interval of reports, as a factor: requests arrive unevenly. */
const SURGE = 2;
/** The part of what all daemons may spend that one may spend between two replies: requests may move to a daemon that has seen none. */
const MIN_WEIGHT = 1 / 16;
/** Time constant of what is spent here, in ms. */
const RATE_MS = 2000;

/** Whether a share allows a spending; otherwise after what time it may, in ms, and what part of those that ask may. */
export type Admission = {readonly isAdmitted: true} | {readonly isAdmitted: false; readonly retryAfterMs: number; readonly fraction: number};

const ADMITTED: Admission = {isAdmitted: true};

/** What a share holds now: what may be spent at once, at most and after how long, and what is wanted and spent here. */
export type ShareState = {readonly tokens: number; readonly capacity: number; readonly fillPerS: number; readonly wantedPerS: number; readonly usedPerS: number};

/** What a share needs to know of the fleet. */
export type ShareContext = {readonly daemonCount: number; readonly intervalMs: number};

/**
 * One daemon's share of a budget: of what is wanted here, the fraction that the
 * accountant names, the most urgent first, and in one interval of reports no more than an allowance.
 * Without news, the allowance is filled again only at the rate of the recent
 * spending here, and an equal share of what all daemons left unused.
 */
export class Share {
	#limit: BudgetLimit;
	/** What is left of a limited allowance without news: random, so that all daemons together have the half. */
	readonly #phase: number;
	readonly #urgentFirst: UrgentFirst;
	#tokens: number;
	#capacity = MIN_CAPACITY;
	/** The part of the capacity that all daemons may use at the same time. */
	#staleCapacity = MIN_CAPACITY;
	#fillPerS: number;
	#advancedMs: number;
	#usedPerS = 0;
	#wanted = 0;
	#used = 0;
	#other = 0;

	/** @param tokens what may be spent before any news */
	constructor(limit: BudgetLimit, {daemonCount}: ShareContext, {credit, tokens}: {credit: number; tokens: number}, nowMs: number) {
		this.#limit = limit;
		this.#phase = credit;
		this.#urgentFirst = new UrgentFirst(credit);
		this.#tokens = tokens;
		this.#fillPerS = limit.ratePerS / daemonCount;
		this.#advancedMs = nowMs;
	}

	/** Whether so little is left of the allowance that it may not last until the next reply. */
	get isLow(): boolean {
		return this.#tokens < this.#capacity / 2;
	}

	get hasUsage(): boolean {
		return this.#wanted !== 0 || this.#used !== 0 || this.#other !== 0;
	}

	stateAt(nowMs: number): ShareState {
		this.#advance(nowMs);
		return {
			tokens: this.#tokens, capacity: this.#capacity, fillPerS: this.#fillPerS, wantedPerS: this.#urgentFirst.wantedPerS, usedPerS: this.#usedPerS,
		};
	}

	/** Changes the limit; a lower one lowers the share in proportion at once. */
	setLimit(limit: BudgetLimit): void {
		const factor = Math.min(1, limit.ratePerS / this.#limit.ratePerS);
		this.#limit = limit;
		this.#fillPerS *= factor;
		this.#usedPerS *= factor;
		this.#capacity = MIN_CAPACITY + ((this.#capacity - MIN_CAPACITY) * factor);
		this.#staleCapacity = MIN_CAPACITY + ((this.#staleCapacity - MIN_CAPACITY) * factor);
		this.#tokens = Math.min(this.#tokens, this.#capacity);
	}

	/**
	 * @param fraction the fraction in force; 1 if there is none
	 * @param rank 0 is the highest
	 */
	trySpend(fraction: number, rank: number, nowMs: number): Admission {
		this.#advance(nowMs);
		this.#wanted++;
		this.#urgentFirst.record(rank);
		if (fraction < 1) {
			const waitMs = this.#urgentFirst.earn(rank, fraction);
			if (waitMs > 0) {
				return {isAdmitted: false, retryAfterMs: waitMs, fraction: this.#urgentFirst.fractionOf(rank, fraction)};
			}
		} else {
			this.#urgentFirst.reset();
		}

		if (this.#tokens < 1) {
			return {isAdmitted: false, retryAfterMs: (1 - this.#tokens) * 1000 / this.#fillPerS, fraction: 1};
		}

		if (fraction < 1) {
			this.#urgentFirst.spend(rank);
		}

		this.#tokens--;
		this.#used++;
		this.#usedPerS += 1000 / RATE_MS;
		return ADMITTED;
	}

	/** Counts a request for which no token is asked. */
	onAsked(): void {
		this.#other++;
	}

	/** Gives back what was admitted and not spent. */
	giveBack(nowMs: number): void {
		this.#advance(nowMs);
		this.#tokens = Math.min(this.#tokens + 1, this.#capacity);
		this.#wanted--;
		this.#used--;
		this.#other++;
		this.#usedPerS = Math.max(0, this.#usedPerS - (1000 / RATE_MS));
	}

	/** Returns what is to be reported, and counts from zero again. */
	takeUsage(): Omit<Usage, 'budget'> {
		const usage = {wanted: this.#wanted, used: this.#used, other: this.#other};
		this.#wanted = 0;
		this.#used = 0;
		this.#other = 0;
		return usage;
	}

	/** Applies what the accountant says of the budget. */
	onAllowance({usedPerS, spendable}: Allowance, {daemonCount, intervalMs}: ShareContext, nowMs: number): void {
		this.#advance(nowMs);
		const own = this.#usedPerS;
		const weight = ((own / Math.max(usedPerS, own, 1 / RATE_MS)) + (1 / daemonCount)) / 2;
		const surge = MIN_CAPACITY + (SURGE * own * intervalMs / 1000);
		this.#staleCapacity = surge + (spendable * weight);
		this.#capacity = surge + (spendable * Math.max(weight, MIN_WEIGHT));
		this.#fillPerS = own + (Math.max(0, this.#limit.ratePerS - usedPerS) / daemonCount);
	}

	/**
	 * Takes a part of the allowance away because there is no news any longer.
	 * @param wasLimited whether a fraction was in force, which had kept the allowance unspent
	 */
	onStale(wasLimited: boolean): void {
		this.#capacity = this.#staleCapacity;
		this.#tokens = Math.min(this.#tokens, wasLimited ? this.#phase : this.#capacity);
	}

	/** Fills the allowance after a reply of the accountant. */
	fill(): void {
		this.#tokens = this.#capacity;
	}

	#advance(nowMs: number): void {
		const passedMs = nowMs - this.#advancedMs;
		if (passedMs <= 0) {
			return;
		}

		this.#advancedMs = nowMs;
		this.#tokens = Math.min(this.#tokens + (this.#fillPerS * passedMs / 1000), this.#capacity);
		this.#usedPerS *= Math.exp(-passedMs / RATE_MS);
		this.#urgentFirst.advance(passedMs);
	}
}
