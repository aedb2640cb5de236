/** Why a client is told to come back. */
export type RetryCause = 'transient' | 'overload';

/** Earliest return after a fault that passes by itself, in ms: a peer is found dead and avoided within it. */
const SOON_MS = 250;
/** Earliest return after a refusal for load, in ms. */
const MIN_SPREAD_MS = 150;
/** The part of its time left within which a client returns; later than a third, it won't wait. */
const LEFT_SHARE = 0.3;
/** The part of the objective's rest within which a client returns; in what is then left it can still be served. */
const OBJECTIVE_SHARE = 0.6;
/** The shortest return after a passing fault, as a part of the longest. */
const TRANSIENT_SPREAD = 0.6;

/**
 * When a refused client should return, in ms. Returns spread over the time in
 * which they still earn full credit, so that they don't come as a second peak;
 * those with little time left return first.
 * Load pattern: a burst whose refused clients all return once.
 */
export function chooseRetryAfterMs(reason: RetryCause, leftMs: number, objectiveLeftMs: number, random: () => number): number {
	const longestMs = Math.max(0, leftMs * LEFT_SHARE);
	if (reason === 'transient') {
		return Math.min(SOON_MS, longestMs) * (TRANSIENT_SPREAD + ((1 - TRANSIENT_SPREAD) * random()));
	}

	const latestMs = Math.min(longestMs, Math.max(objectiveLeftMs * OBJECTIVE_SHARE, MIN_SPREAD_MS * 2));
	const earliestMs = Math.min(MIN_SPREAD_MS, latestMs);
	return earliestMs + ((latestMs - earliestMs) * random());
}
