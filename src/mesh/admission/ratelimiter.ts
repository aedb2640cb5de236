/** Tokens that may accumulate while no call arrives, in ms of the rate: several checks of a waiting queue lie within it. */
const BURST_MS = 200;
/** The lowest rate, in calls per second: only the answer to a call tells that a target has raised its limit. */
const MIN_RATE_PER_S = 0.5;

/**
 * Limits the rate of the calls that a target is given, as a token bucket.
 * Handles the load pattern in which an overloaded target names a rate far below
 * what its slots would allow.
 */
export class RateLimiter {
	#ratePerS = Number.POSITIVE_INFINITY;
	#tokens = 0;
	#refilledMs = 0;

	/** The rate in force, in calls per second; infinite without a limit. */
	get ratePerS(): number {
		return this.#ratePerS;
	}

	/** Sets the limit, or removes it if it is undefined. A new limit begins with an empty bucket: calls from before may still be running. */
	setLimit(limitPerS: number | undefined, nowMs: number): void {
		this.#refill(nowMs);
		if (!this.#isLimited) {
			this.#tokens = 0;
			this.#refilledMs = nowMs;
		}

		this.#ratePerS = limitPerS === undefined ? Number.POSITIVE_INFINITY : Math.max(limitPerS, MIN_RATE_PER_S);
		this.#tokens = Math.min(this.#tokens, this.#capacity);
	}

	/** Takes the token of one call. @returns whether there was one */
	tryTake(nowMs: number): boolean {
		if (!this.#isLimited) {
			return true;
		}

		this.#refill(nowMs);
		const isTaken = this.#tokens >= 1;
		this.#tokens -= isTaken ? 1 : 0;
		return isTaken;
	}

	/** The time until the last of this many calls has its token, in ms. */
	waitMs(calls: number, nowMs: number): number {
		this.#refill(nowMs);
		return this.#isLimited ? Math.max(0, calls - this.#tokens) * 1000 / this.#ratePerS : 0;
	}

	get #isLimited(): boolean {
		return Number.isFinite(this.#ratePerS);
	}

	get #capacity(): number {
		return this.#isLimited ? Math.max(1, this.#ratePerS * BURST_MS / 1000) : 0;
	}

	#refill(nowMs: number): void {
		if (this.#isLimited) {
			const passedMs = Math.max(0, nowMs - this.#refilledMs);
			this.#tokens = Math.min(this.#tokens + (passedMs * this.#ratePerS / 1000), this.#capacity);
			this.#refilledMs = nowMs;
		}
	}
}
