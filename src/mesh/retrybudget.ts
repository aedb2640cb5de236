/** How the budget of second sends is shared, as settings. */
export type RetryBudgetOptions = {
	/** Second sends for each first one that the site allows, over the window. */
	readonly ratio: number;
	/** Second sends to a service in a window that the site allows besides. */
	readonly slack: number;
	readonly windowMs: number;
};

type Bucket = {tokens: number; refilledMs: number};

/** The part of the ratio that is spent: a second run's calls are second sends at the services below it, too. */
const RATIO_SHARE = 0.3;
/** The part of the slack that is spent, over all daemons. */
const SLACK_SHARE = 0.3;

/**
 * The second sends that this daemon may make to each service: its part of a
 * budget that all daemons share without talking of it. Each spends from what
 * its own requests bring, and from an equal part of the slack.
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
	share(daemons: number): void {
		this.#daemons = Math.max(1, daemons);
	}

	/** A request for a service was sent for the first time. */
	onFirst(service: string, nowMs: number): void {
		const bucket = this.#bucket(service, nowMs);
		bucket.tokens = Math.min(bucket.tokens + (this.#options.ratio * RATIO_SHARE), this.#capacity());
	}

	/** @returns whether a second send is within the budget; it is then spent */
	spend(service: string, nowMs: number): boolean {
		const bucket = this.#bucket(service, nowMs);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens--;
		return true;
	}

	#bucket(service: string, nowMs: number): Bucket {
		let bucket = this.#buckets.get(service);
		if (bucket === undefined) {
			bucket = {tokens: Math.min(1, this.#slack()), refilledMs: nowMs};
			this.#buckets.set(service, bucket);
		}

		const earned = this.#slack() * Math.max(0, nowMs - bucket.refilledMs) / this.#options.windowMs;
		bucket.tokens = Math.min(bucket.tokens + earned, this.#capacity());
		bucket.refilledMs = nowMs;
		return bucket;
	}

	#slack(): number {
		return this.#options.slack * SLACK_SHARE / this.#daemons;
	}

	#capacity(): number {
		return Math.max(2, 2 * this.#slack());
	}
}
