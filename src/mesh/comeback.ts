/** Why a client is told to come back. */
export type ComebackReason = 'transient' | 'overload';

/** Earliest return after a fault that passes by itself, in ms: a peer is found dead and avoided within it. */
const SOON_MS = 250;
/** Earliest return after a refusal for load, in ms. */
const MIN_SPREAD_MS = 150;
/** The part of its time left within which a client returns; later than a third, it won't wait. */
const LEFT_SHARE = 0.3;

/**
 * When a refused client should return, in ms. Returns spread over the time in
 * which they still earn full credit, so that they don't come as a second peak;
 * those with little time left return first.
 * Load pattern: a burst whose refused clients all return once.
 */
export function comebackMs(reason: ComebackReason, leftMs: number, objectiveLeftMs: number, random: () => number): number {
	const latestMs = Math.max(MIN_SPREAD_MS, Math.min(leftMs * LEFT_SHARE, Math.max(objectiveLeftMs * 0.6, leftMs * 0.1)));
	if (reason === 'transient') {
		return Math.min(SOON_MS, latestMs) * (0.8 + (0.4 * random()));
	}

	return MIN_SPREAD_MS + ((latestMs - MIN_SPREAD_MS) * random());
}
