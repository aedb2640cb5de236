import {
	type BudgetLimit, type BudgetRoom, type Usage, roomOf,
} from './budget.js';

/** The time in which a surplus is spent or a debt paid back, in ms: several times as long as news takes. */
const BALANCE_MS = 1000;
/** Time constant of the wanted rate, in ms: some reports of each daemon lie within it. */
const WANTED_MS = 750;
/** The time that the first reports stand for at least, in ms. */
const MIN_OPEN_MS = 500;
/** Time constant of the rates that are spent and asked for, in ms. */
const USED_MS = 2000;
/** The share of the room that is in use while a budget is limited; the rest is for what is spent while news is on its way. */
const STEADY_SHARE = 0.25;
/** The share of the room that may be spent in one interval of reports. */
const SPENDABLE_SHARE = 0.5;

/**
 * The account of one budget: a token bucket of all that the daemons report.
 * What is spent while news of it is on its way becomes debt, which is paid back.
 */
export class Ledger {
	#limit: BudgetLimit;
	#room: number;
	readonly #roomOptions: BudgetRoom;
	#scale = 1;
	#level: number;
	/** Decays from each report on; too low until the ledger has been open for some time. */
	#wantedPerS = 0;
	#usedPerS = 0;
	#askedPerS = 0;
	readonly #openedMs: number;
	#advancedMs: number;

	constructor(limit: BudgetLimit, room: BudgetRoom, nowMs: number) {
		this.#limit = limit;
		this.#roomOptions = room;
		this.#room = roomOf(limit, room);
		// No full burst: what was spent before isn't known.
		this.#level = Math.min(limit.burst, this.#room * STEADY_SHARE);
		this.#openedMs = nowMs;
		this.#advancedMs = nowMs;
	}

	get level(): number {
		return this.#level;
	}

	get wantedPerS(): number {
		const openMs = Math.max(this.#advancedMs - this.#openedMs, MIN_OPEN_MS);
		return this.#wantedPerS / (1 - Math.exp(-openMs / WANTED_MS));
	}

	get usedPerS(): number {
		return this.#usedPerS;
	}

	get askedPerS(): number {
		return this.#askedPerS;
	}

	/** What all daemons together may spend until they hear more. */
	get spendable(): number {
		return Math.max(0, this.#level + (this.#room * SPENDABLE_SHARE * this.#scale));
	}

	/** Changes the limit; what was spent before still counts. */
	setLimit(limit: BudgetLimit, nowMs: number): void {
		this.#advance(nowMs);
		this.#limit = limit;
		this.#room = roomOf(limit, this.#roomOptions);
		this.#level = Math.min(this.#level, limit.burst * this.#scale);
	}

	/** Sets the part of the limit that the accountant's side of the fleet may spend. */
	setScale(scale: number, nowMs: number): void {
		if (scale !== this.#scale) {
			this.#advance(nowMs);
			this.#scale = scale;
		}
	}

	record({wanted, used, other}: Omit<Usage, 'budget'>, nowMs: number): void {
		this.#advance(nowMs);
		this.#level = Math.max(this.#level - used, -this.#maxDebt);
		this.#wantedPerS = Math.max(0, this.#wantedPerS + (wanted * 1000 / WANTED_MS));
		this.#usedPerS = Math.max(0, this.#usedPerS + (used * 1000 / USED_MS));
		this.#askedPerS = Math.max(0, this.#askedPerS + ((wanted + other) * 1000 / USED_MS));
	}

	/** The share of what is wanted that may be spent; more than 1 if all of it may. */
	fraction(nowMs: number): number {
		this.#advance(nowMs);
		const spendPerS = (this.#limit.ratePerS * this.#scale) + ((this.#level + (this.#room * STEADY_SHARE * this.#scale)) * 1000 / BALANCE_MS);
		return Math.max(0, spendPerS) / Math.max(this.wantedPerS, Number.MIN_VALUE);
	}

	/** Debt beyond a whole window's limit isn't remembered: the windows that it lies in would be over before it is paid back. */
	get #maxDebt(): number {
		return (this.#limit.ratePerS * this.#roomOptions.windowMs / 1000) + this.#limit.burst;
	}

	#advance(nowMs: number): void {
		const passedMs = nowMs - this.#advancedMs;
		if (passedMs <= 0) {
			return;
		}

		this.#advancedMs = nowMs;
		this.#level = Math.min(this.#level + (this.#limit.ratePerS * this.#scale * passedMs / 1000), this.#limit.burst * this.#scale);
		this.#wantedPerS *= Math.exp(-passedMs / WANTED_MS);
		this.#usedPerS *= Math.exp(-passedMs / USED_MS);
		this.#askedPerS *= Math.exp(-passedMs / USED_MS);
	}
}
