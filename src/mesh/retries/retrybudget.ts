import {MAX_FLOOR, RANK_COUNT} from '../../core/index.js';

/** The site's limits on retries. */
export type RetryBudgetOptions = {
	/** Retries per first send that the site allows, over the window. */
	readonly ratio: number;
	/** Additional retries to a service that the site allows in a window. */
	readonly slack: number;
	readonly windowMs: number;
};

type Bucket = {tokens: number; refilledMs: number; firstSendsPerS: number};

/** Share of the site's budget that is spent: the rest is reserved because the daemons' windows aren't aligned with each other. */
const SPENT_SHARE = 0.8;
/** Tokens that may accumulate for a burst of failures, in ms of arrivals. */
const BURST_MS = 250;
/** Time constant of the arrival rate, in ms. */
const RATE_TIME_CONSTANT_MS = 2000;
/** The least number of ranks over which the token reserve grows to the whole: as many as most sites use. */
const MIN_RESERVED_RANKS = 4;

/**
 * Limits the retries that this daemon sends to each service: its share of a
 * budget that all daemons divide without coordination. Each earns tokens from
 * its own requests and from an equal share of the slack. When tokens run low,
 * only calls of the root requests with the highest priority may spend them, so that
 * some root requests get all their calls answered rather than each of them a few.
 * Handles the load pattern in which many calls fail at once and every daemon
 * would retry.
 */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #buckets = new Map<string, Bucket>();
	#daemonCount = 1;
	#reservedRanks = MIN_RESERVED_RANKS;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** Sets the number of daemons that divide the slack. */
	setDaemonCount(daemonCount: number): void {
		this.#daemonCount = Math.max(1, daemonCount);
	}

	/** Sets how many ranks are in use, from the highest on: with the lowest of them, the reserve is whole. */
	setRankCount(rankCount: number): void {
		this.#reservedRanks = Math.max(MIN_RESERVED_RANKS, rankCount);
	}

	/** Earns tokens for a request that is sent for the first time. */
	recordFirstSend(service: string, nowMs: number): void {
		const bucket = this.#bucket(service, nowMs);
		bucket.firstSendsPerS += 1000 / RATE_TIME_CONSTANT_MS;
		bucket.tokens = Math.min(bucket.tokens + (this.#options.ratio * SPENT_SHARE), this.#capacity(bucket));
	}

	/** Charges a call made by a run that is itself a retry: it counts as a retry, too, although it needs no permission. The balance may become negative. */
	chargeRetriedRun(service: string, nowMs: number): void {
		this.#bucket(service, nowMs).tokens--;
	}

	/**
	 * @param level priority level of the call's root request
	 * @returns whether the budget allows a retry; it is then charged
	 */
	spend(service: string, level: number, nowMs: number): boolean {
		const bucket = this.#bucket(service, nowMs);
		const reserve = (this.#capacity(bucket) - 1) * Math.min(1, (1 - (level / MAX_FLOOR)) * RANK_COUNT / this.#reservedRanks);
		if (bucket.tokens < 1 + reserve) {
			return false;
		}

		bucket.tokens--;
		return true;
	}

	#bucket(service: string, nowMs: number): Bucket {
		let bucket = this.#buckets.get(service);
		if (bucket === undefined) {
			bucket = {tokens: Math.min(1, this.#slackPerDaemon()), refilledMs: nowMs, firstSendsPerS: 0};
			this.#buckets.set(service, bucket);
		}

		const passedMs = Math.max(0, nowMs - bucket.refilledMs);
		bucket.firstSendsPerS *= Math.exp(-passedMs / RATE_TIME_CONSTANT_MS);
		const earned = this.#slackPerDaemon() * passedMs / this.#options.windowMs;
		bucket.tokens = Math.min(bucket.tokens + earned, this.#capacity(bucket));
		bucket.refilledMs = nowMs;
		return bucket;
	}

	#slackPerDaemon(): number {
		return this.#options.slack * SPENT_SHARE / this.#daemonCount;
	}

	#capacity({firstSendsPerS}: Bucket): number {
		return 1 + (this.#options.ratio * firstSendsPerS * BURST_MS / 1000);
	}
}
