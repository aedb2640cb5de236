/** How a request ended. The response carries these values. */
export type Outcome = 'complete' | 'not-run' | 'unknown';

/** Why a request ended without a complete answer. Each reason has its own counter. */
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
		| 'key-too-long'
		| 'ledger-full'
		| 'lost'
		| 'no-config'
		| 'no-upstream'
		| 'overload'
		| 'paused'
		| 'pressure'
		| 'quarantined'
		| 'superseded'
		| 'target-failed'
		| 'target-refused'
		| 'target-unreachable'
		| 'unknown-operation'
		| 'unknown-service'
		| 'unreachable';

/** A body with its status and headers, opaque to the core. */
export type Payload = unknown;

/** The one final answer of a request or of a call between daemons. */
export type Answer = {
	readonly outcome: Outcome;
	readonly reason?: Reason;
	readonly payload?: Payload;
	/** Delay before the caller should retry, in ms; present on refusals. */
	readonly retryAfterMs?: number;
	/**
	 * Whether the calling hop may retry. It is false once a hop further down has
	 * used its own retry on the same failure.
	 */
	readonly retryable?: boolean;
};

/** Delay before a retry that a target's daemon suggests with a refusal, in ms. */
export const REFUSED_RETRY_AFTER_MS = 1000;

/** Returns an answer that says that nothing was run. */
export function createRefusal(reason: Reason, retryAfterMs: number, retryable = false): Answer {
	return {
		outcome: 'not-run', reason, retryAfterMs, retryable,
	};
}

/** Returns an answer that says that the request may have run. */
export function createUnknownAnswer(reason: Reason, payload?: Payload): Answer {
	return {outcome: 'unknown', reason, payload};
}
