/** How long a learned limit applies, in ms: a target that drops idle connections does so only for a while. */
const LIMIT_TTL_MS = 10_000;
/** Limit as a share of the shortest idle time after which a request was lost. */
const SAFE_SHARE = 0.5;

/**
 * Learns how long a kept-alive connection may be idle and still carry a request.
 * Handles the load pattern in which a target drops idle connections without
 * closing them, so that the next request on each of them is lost.
 */
export class IdleConnectionLimit {
	#learnedLimitMs = Number.POSITIVE_INFINITY;
	#learnedAtMs = Number.NEGATIVE_INFINITY;

	/** Records that a request got no answer on a connection that was idle before. */
	recordLoss(idleMs: number, nowMs: number): void {
		this.#learnedLimitMs = Math.min(this.#currentLimitMs(nowMs), idleMs * SAFE_SHARE);
		this.#learnedAtMs = nowMs;
	}

	allows(idleMs: number, nowMs: number): boolean {
		return idleMs <= this.#currentLimitMs(nowMs);
	}

	#currentLimitMs(nowMs: number): number {
		return nowMs - this.#learnedAtMs < LIMIT_TTL_MS ? this.#learnedLimitMs : Number.POSITIVE_INFINITY;
	}
}
