import murmurhash from 'murmurhash';

/** The number of levels within one rank; a power of two, so that levels stay small integers. */
export const LEVELS_PER_RANK = 1024;

/** The number of ranks that a site may use; the highest is served first. */
export const RANK_COUNT = 8;

/** A floor above every level, which admits nothing. */
export const MAX_FLOOR = RANK_COUNT * LEVELS_PER_RANK;

/**
 * Returns the priority level of a request: the rank of its class, and within the
 * rank a hash of its root request, so that the level is the same at every hop.
 * Requests of a lower level are shed first.
 */
export function levelOf(rank: number, root: string, epoch: number): number {
	return (rank * LEVELS_PER_RANK) + (murmurhash.v3(`${root}:${epoch}`) % LEVELS_PER_RANK);
}

export function rankOf(level: number): number {
	return Math.floor(level / LEVELS_PER_RANK);
}

/** Returns the share of a rank's requests that a floor admits, from 0 to 1. */
export function admittedShareOf(rank: number, floor: number): number {
	const refusedShare = (floor - (rank * LEVELS_PER_RANK)) / LEVELS_PER_RANK;
	return 1 - Math.min(1, Math.max(0, refusedShare));
}
