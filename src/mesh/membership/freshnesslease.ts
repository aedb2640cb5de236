/** The times of a lease, in ms. */
export type FreshnessLeaseOptions = {
	/** How long a confirmation by the store is trusted. */
	readonly leaseMs: number;
	/** The range of the random delay between the end of the lease and this daemon's own question. */
	readonly jitterMs: number;
};

/** How much newer a confirmation must be than the last one to be passed on, in ms; it ends a flood where two confirmations meet. */
const MIN_RENEWAL_MS = 200;
/** Upper limit of the delay between failed questions, for each daemon of the fleet, in ms; it bounds how often the fleet as a whole asks a store that is down. */
const MAX_BACKOFF_PER_DAEMON_MS = 100;

/**
 * Tracks when the store last confirmed the configuration, to this daemon or to
 * a peer that told it. A few daemons watch the store and pass on each
 * confirmation. A daemon that hears of none for the time of the lease asks the
 * store itself, after a random delay: the answer to the first that asks renews
 * the leases of all that it can reach.
 * Handles the load pattern in which each change and each timeout of a watch
 * wakes every daemon of a large fleet at the store.
 */
export class FreshnessLease {
	readonly #options: FreshnessLeaseOptions;
	readonly #random: () => number;
	#confirmedMs = Number.NEGATIVE_INFINITY;
	#dueMs: number;
	#failures = 0;

	constructor(options: FreshnessLeaseOptions, random: () => number, nowMs: number) {
		this.#options = options;
		this.#random = random;
		this.#dueMs = nowMs + options.leaseMs + (options.jitterMs * random());
	}

	/** When this daemon asks the store itself unless it hears of a confirmation before, in ms. */
	get dueMs(): number {
		return this.#dueMs;
	}

	/** How old the last confirmation is, in ms; infinite before the first. */
	ageMs(nowMs: number): number {
		return nowMs - this.#confirmedMs;
	}

	/** Records a confirmation. @returns whether it is so much newer than the last one that peers should hear of it */
	confirm(confirmedMs: number): boolean {
		if (confirmedMs - this.#confirmedMs < MIN_RENEWAL_MS) {
			return false;
		}

		this.#confirmedMs = confirmedMs;
		this.#failures = 0;
		this.#dueMs = Math.max(this.#dueMs, confirmedMs + this.#options.leaseMs + (this.#options.jitterMs * this.#random()));
		return true;
	}

	/** Delays the next question after one that the store didn't answer. */
	onFailure(daemonCount: number, nowMs: number): void {
		const backoffMs = Math.min(this.#options.leaseMs * (2 ** this.#failures), Math.max(this.#options.leaseMs, MAX_BACKOFF_PER_DAEMON_MS * daemonCount));
		this.#failures = Math.min(this.#failures + 1, 10);
		this.#dueMs = nowMs + (backoffMs * (0.5 + this.#random()));
	}
}
