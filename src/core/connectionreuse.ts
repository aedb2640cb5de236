/** How long no connection is used again after the target sent bytes that belong to no request, in ms. */
const AFTER_SURPLUS_BYTES_MS = 5000;
/** The same after an answer without a length, in ms: the next ones of its kind should find connections of their own. */
const AFTER_UNFRAMED_ANSWER_MS = 60_000;

/**
 * Decides whether a connection to the target may carry another request. Handles targets that repeat an answer later: the copy can't
 * be told from an answer without a length, which takes all bytes until its connection ends.
 */
export class ConnectionReuse {
	#refusedUntilMs = 0;

	/** Records that the target sent bytes that belong to no request. */
	onSurplusBytes(nowMs: number): void {
		this.#refuseUntil(nowMs + AFTER_SURPLUS_BYTES_MS);
	}

	/** Records that the target sent an answer without a length. */
	onUnframedAnswer(nowMs: number): void {
		this.#refuseUntil(nowMs + AFTER_UNFRAMED_ANSWER_MS);
	}

	isAllowed(nowMs: number): boolean {
		return nowMs >= this.#refusedUntilMs;
	}

	#refuseUntil(atMs: number): void {
		this.#refusedUntilMs = Math.max(this.#refusedUntilMs, atMs);
	}
}
