/** How long a lost connection is remembered, in ms: a target that forgets connections does so for a while. */
const MEMORY_MS = 10_000;
/** The part of the shortest rest that lost a connection after which others are still trusted. */
const TRUSTED_SHARE = 0.5;

/**
 * How long a kept connection may have rested and still carry a request.
 * Load pattern: a target that forgets idle connections without notice, where
 * the next request on each of them is lost.
 */
export class IdleConnectionLimit {
	#longestMs = Number.POSITIVE_INFINITY;
	#learnedMs = Number.NEGATIVE_INFINITY;

	/** A request got no answer on a connection that had rested. */
	recordLoss(restedMs: number, nowMs: number): void {
		this.#longestMs = Math.min(this.#limitMs(nowMs), restedMs * TRUSTED_SHARE);
		this.#learnedMs = nowMs;
	}

	allows(restedMs: number, nowMs: number): boolean {
		return restedMs <= this.#limitMs(nowMs);
	}

	#limitMs(nowMs: number): number {
		return nowMs - this.#learnedMs < MEMORY_MS ? this.#longestMs : Number.POSITIVE_INFINITY;
	}
}
