/** Why a client is told to retry: a short fault, or an overload. */
export type RetryCause = 'transient' | 'overload';

/** Longest delay after a transient fault, in ms: within it, a dead peer is detected and avoided. */
const MAX_TRANSIENT_DELAY_MS = 250;
/** Shortest delay after a refusal for overload, in ms. */
const MIN_OVERLOAD_DELAY_MS = 150;
/** Maximum delay as a share of the time left to the deadline: a client doesn't wait for longer than a third of it. */
const MAX_DEADLINE_SHARE = 0.3;
/** Maximum delay as a share of the time left to the objective: the remainder suffices to serve the retry. */
const MAX_OBJECTIVE_SHARE = 0.6;
/** Part of the latest delay that is left to chance, so that clients refused at once don't return at once. */
const LATEST_SPREAD = 0.2;
/** Minimum delay after a transient fault, as a share of the maximum. */
const MIN_TRANSIENT_SHARE = 0.6;

/**
 * Chooses the delay after which a refused client should retry, in ms. Retries
 * are spread at random over the time in which an answer still meets the
 * objective, so that they don't arrive as a second peak; clients with little
 * time left retry first.
 * Handles the load pattern in which all refused clients of a burst retry once.
 */
export function chooseRetryAfterMs(cause: RetryCause, leftMs: number, objectiveLeftMs: number, random: () => number): number {
	const longestMs = Math.max(0, leftMs * MAX_DEADLINE_SHARE);
	if (cause === 'transient') {
		return Math.min(MAX_TRANSIENT_DELAY_MS, longestMs) * (MIN_TRANSIENT_SHARE + ((1 - MIN_TRANSIENT_SHARE) * random()));
	}

	const latestMs = Math.min(longestMs, Math.max(objectiveLeftMs * MAX_OBJECTIVE_SHARE, MIN_OVERLOAD_DELAY_MS * 2));
	const earliestMs = Math.min(MIN_OVERLOAD_DELAY_MS, latestMs);
	return earliestMs + ((latestMs - earliestMs) * random());
}

/** The latest delay that a refused client honours, in ms, a little spread. */
export function latestRetryAfterMs(leftMs: number, random: () => number): number {
	return leftMs * MAX_DEADLINE_SHARE * (1 - (LATEST_SPREAD * random()));
}
