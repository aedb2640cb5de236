import murmurhash from 'murmurhash';

/** Priorities within one rank; a power of two so that levels stay small integers. */
export const LEVELS_PER_RANK = 1024;

/** The number of ranks that a site may use. */
export const RANK_COUNT = 8;

/** Above every level: a floor of this value admits nothing. */
export const MAX_FLOOR = RANK_COUNT * LEVELS_PER_RANK;

/**
 * The level of a request: its class's rank first, then a priority that is the
 * same at every hop. A higher level is served before a lower one.
 */
export function levelOf(rank: number, root: string, epoch: number): number {
	return (rank * LEVELS_PER_RANK) + (murmurhash.v3(`${root}:${epoch}`) % LEVELS_PER_RANK);
}

export function rankOf(level: number): number {
	return Math.floor(level / LEVELS_PER_RANK);
}

/** The share of a rank's requests that a floor lets through, from 0 to 1. */
export function admittedShareOf(rank: number, floor: number): number {
	const closed = (floor - (rank * LEVELS_PER_RANK)) / LEVELS_PER_RANK;
	return 1 - Math.min(1, Math.max(0, closed));
}
