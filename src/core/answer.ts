/** How a request ended, in the words that are put on the response. */
export type Outcome = 'complete' | 'not-run' | 'unknown';

/** Why a request did not end in a whole answer. One counter is kept for each. */
export type Reason
	= | 'bad-context'
		| 'cancelled'
		| 'child-failed'
		| 'deadline'
		| 'draining'
		| 'evicted'
		| 'expired'
		| 'fence-unavailable'
		| 'key-expired'
		| 'key-from-future'
		| 'ledger-full'
		| 'lost'
		| 'no-config'
		| 'no-upstream'
		| 'overload'
		| 'paused'
		| 'pressure'
		| 'superseded'
		| 'target-failed'
		| 'target-refused'
		| 'target-unreachable'
		| 'unknown-operation'
		| 'unknown-service'
		| 'unreachable';

/** A body with its status and headers. The core never looks inside. */
export type Payload = unknown;

/** The one final answer of a request or of a call between daemons. */
export type Answer = {
	readonly outcome: Outcome;
	readonly reason?: Reason;
	readonly payload?: Payload;
	/** When to come back, in ms; present on refusals. */
	readonly retryAfterMs?: number;
	/**
	 * Whether the hop above may try again. It is false once a hop below has
	 * already spent its own retry on the same failure.
	 */
	readonly retryable?: boolean;
};

/** When to come back after a refusal by a target's daemon, in ms. */
export const REFUSED_RETRY_AFTER_MS = 1000;

/** An answer that nothing was run. */
export function createRefusal(reason: Reason, retryAfterMs: number, retryable = false): Answer {
	return {
		outcome: 'not-run', reason, retryAfterMs, retryable,
	};
}

/** An answer that something may have run. */
export function createUnknownAnswer(reason: Reason, payload?: Payload): Answer {
	return {outcome: 'unknown', reason, payload};
}
