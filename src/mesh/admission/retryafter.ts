/** Why a client is told to retry: a short fault, or an overload. */
export type RetryCause = 'transient' | 'overload';

/** Longest delay after a transient fault, in ms: within it, a dead peer is detected and avoided. */
const MAX_TRANSIENT_DELAY_MS = 250;
/** Shortest delay after a refusal for overload, in ms: floors change each 50 ms and are heard of within another 50, so an earlier retry would meet the same one. */
const MIN_OVERLOAD_DELAY_MS = 150;
/** Maximum delay as a share of the time that the client has left: clients wait for a third of it at most, and a part of it passes on the way. */
export const MAX_DELAY_SHARE = 0.3;
/** Part of the latest delay that is left to chance, so that clients refused at once don't return at once. */
const LATEST_SPREAD = 0.2;
/** Minimum delay after a transient fault, as a share of the maximum. */
const MIN_TRANSIENT_SHARE = 0.6;

/**
 * Chooses the delay after which a refused client should retry, in ms. After an overload,
 * retries are spread at random over as much of the client's time as it is ready to
 * wait, so that they don't arrive as a second peak; clients with little time left retry first.
 * Handles the load pattern in which all refused clients of a burst retry once.
 * @param leftMs how long the client still waits for its answer
 */
export function chooseRetryAfterMs(cause: RetryCause, leftMs: number, random: () => number): number {
	const latestMs = Math.max(0, leftMs * MAX_DELAY_SHARE);
	if (cause === 'transient') {
		return Math.min(MAX_TRANSIENT_DELAY_MS, latestMs) * (MIN_TRANSIENT_SHARE + ((1 - MIN_TRANSIENT_SHARE) * random()));
	}

	const earliestMs = Math.min(MIN_OVERLOAD_DELAY_MS, latestMs);
	return earliestMs + ((latestMs - earliestMs) * random());
}

/** The latest delay that a refused client honours, in ms, a little spread. */
export function latestRetryAfterMs(leftMs: number, random: () => number): number {
	return leftMs * MAX_DELAY_SHARE * (1 - (LATEST_SPREAD * random()));
}
