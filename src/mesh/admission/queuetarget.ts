import {RANK_COUNT} from '../../core/index.js';

/** The most queues that a request passes, one after the other: a site's call trees may be so deep. */
const MAX_CALL_DEPTH = 22;
/** Weight of one call in the moving mean of its rank. */
const CALL_WEIGHT = 0.05;

/**
 * How long calls should wait in a queue at most, by rank, from what their callers can spare: a
 * request that waits for its part of that in each queue still has a third of it left at the
 * end of the deepest call tree.
 * Handles the load pattern in which demand exceeds capacity for a short time, which callers
 * can wait out, or for a long time, in which all would wait to their deadlines.
 */
export class QueueTarget {
	/** Moving mean of the time that calls of a rank could wait, in ms. */
	readonly #spareMs = new Float64Array(RANK_COUNT);

	/** Records how long an arriving call could wait and still be answered, in ms. */
	record(rank: number, spareMs: number): void {
		const meanMs = this.#spareMs[rank];
		const spare = Math.max(0, spareMs);
		this.#spareMs[rank] = meanMs === 0 ? spare : meanMs + ((spare - meanMs) * CALL_WEIGHT);
	}

	/** The wait to aim at, in ms; 0 for a rank of which no call has arrived. */
	at(rank: number): number {
		return this.#spareMs[rank] / MAX_CALL_DEPTH;
	}
}
