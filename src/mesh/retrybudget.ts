import {MAX_FLOOR} from '../core/index.js';

/** How the budget of second sends is shared, as settings. */
export type RetryBudgetOptions = {
	/** Second sends for each first one that the site allows, over the window. */
	readonly ratio: number;
	/** Second sends to a service in a window that the site allows besides. */
	readonly slack: number;
	readonly windowMs: number;
};

type Bucket = {tokens: number; refilledMs: number; firstsPerS: number};

/** The part of the site's budget that is spent: the rest is for windows that the daemons see shifted against each other. */
const SHARE = 0.8;
/** How much of what requests bring may be saved up, in ms of their arrivals: failures come in bursts. */
const SAVED_MS = 250;
/** The time over which the rate of arrivals is taken, in ms. */
const RATE_MS = 2000;
/** How much of the lowest standing's reserve a place below the top costs: only the upper ranks are in use. */
const RESERVE_SLOPE = 2;

/**
 * The second sends that this daemon may make to each service: its part of a
 * budget that all daemons share without talking of it. Each spends from what
 * its own requests bring, and from an equal part of the slack. When it runs
 * low, calls of the roots with the highest standing spend it alone, so that
 * some roots get all their calls through rather than all of them a part.
 * Load pattern: many failures at once, when every daemon would send again.
 */
export class RetryBudget {
	readonly #options: RetryBudgetOptions;
	readonly #buckets = new Map<string, Bucket>();
	#daemons = 1;

	constructor(options: RetryBudgetOptions) {
		this.#options = options;
	}

	/** How many daemons share the budget. */
	setDaemonCount(daemons: number): void {
		this.#daemons = Math.max(1, daemons);
	}

	/** A request for a service was sent for the first time. */
	recordFirstSend(service: string, nowMs: number): void {
		const bucket = this.#bucket(service, nowMs);
		bucket.firstsPerS += 1000 / RATE_MS;
		bucket.tokens = Math.min(bucket.tokens + (this.#options.ratio * SHARE), this.#capacity(bucket));
	}

	/** A run that was itself a second one makes a call: that counts, too, though nobody asked. */
	chargeRetriedRun(service: string, nowMs: number): void {
		this.#bucket(service, nowMs).tokens--;
	}

	/**
	 * @param level the standing of the call's root
	 * @returns whether a second send is within the budget; it is then spent
	 */
	spend(service: string, level: number, nowMs: number): boolean {
		const bucket = this.#bucket(service, nowMs);
		const reserve = (this.#capacity(bucket) - 1) * Math.min(1, (1 - (level / MAX_FLOOR)) * RESERVE_SLOPE);
		if (bucket.tokens < 1 + reserve) {
			return false;
		}

		bucket.tokens--;
		return true;
	}

	#bucket(service: string, nowMs: number): Bucket {
		let bucket = this.#buckets.get(service);
		if (bucket === undefined) {
			bucket = {tokens: Math.min(1, this.#slack()), refilledMs: nowMs, firstsPerS: 0};
			this.#buckets.set(service, bucket);
		}

		const passedMs = Math.max(0, nowMs - bucket.refilledMs);
		bucket.firstsPerS *= Math.exp(-passedMs / RATE_MS);
		const earned = this.#slack() * passedMs / this.#options.windowMs;
		bucket.tokens = Math.min(bucket.tokens + earned, this.#capacity(bucket));
		bucket.refilledMs = nowMs;
		return bucket;
	}

	#slack(): number {
		return this.#options.slack * SHARE / this.#daemons;
	}

	#capacity({firstsPerS}: Bucket): number {
		return 1 + (this.#options.ratio * firstsPerS * SAVED_MS / 1000);
	}
}
