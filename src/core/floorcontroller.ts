import {
	LEVELS_PER_RANK, MAX_FLOOR, RANK_COUNT, admittedShareOf, rankOf,
} from './level.js';

const INTERVAL_MS = 50;
/** Time over which a wrong queue wait is corrected, in ms. */
const HORIZON_MS = 500;
const SMOOTHING = 0.15;
/** Weight of one arrival seen through a nearly closed floor. */
const MAX_WEIGHT = 50;
const HIDDEN_DECAY = 0.995;
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 1.5;

/** What a target's daemon knows of its own load when it sets its floor. */
export type LoadView = {
	/** Work per ms that the target finishes when all its slots are busy, in the unit of the arrivals' weights. */
	readonly serviceRate: number;
	/** How much work waits at a level or above. */
	readonly waiting: (level: number) => number;
	readonly queueTargetMs: number;
	/** Whether anything waits or every slot is busy. */
	readonly saturated: boolean;
};

/**
 * Works out the floor: the level below which a target can't serve what comes.
 *
 * Arrivals are weighted by the share that the sender's floor let through, so
 * the estimate is of the demand before shedding and doesn't fall when others
 * begin to shed. The floor then follows in one step from demand and capacity,
 * rank by rank from the highest, corrected by the wait that each rank sees.
 */
export class FloorController {
	readonly #weights = new Float64Array(RANK_COUNT);
	readonly #demand = new Float64Array(RANK_COUNT);
	#lastMs = 0;
	#floor = 0;

	get floor(): number {
		return this.#floor;
	}

	/** How long a rank waits behind others, in ms: it is served at the rate that the higher ones leave. */
	estimateWaitMs(rank: number, waiting: number, serviceRate: number): number {
		let left = serviceRate;
		for (let higher = rank + 1; higher < RANK_COUNT; higher++) {
			left -= this.#demand[higher];
		}

		return left > 0 ? waiting / left : Number.POSITIVE_INFINITY;
	}

	/** Counts an arrival of a level that its first daemon admitted under `senderFloor`, and the work that it brings. */
	onArrival(level: number, senderFloor: number, work = 1): void {
		const rank = rankOf(level);
		const share = admittedShareOf(rank, senderFloor);
		this.#weights[rank] += work * (share <= 1 / MAX_WEIGHT ? MAX_WEIGHT : 1 / share);
	}

	/** Sets the floor anew when an interval has passed. */
	update(nowMs: number, load: () => LoadView): void {
		const elapsedMs = nowMs - this.#lastMs;
		if (elapsedMs < INTERVAL_MS) {
			return;
		}

		this.#lastMs = nowMs;
		this.#estimate(elapsedMs);
		this.#floor = this.#choose(load());
	}

	#estimate(elapsedMs: number): void {
		for (let rank = 0; rank < RANK_COUNT; rank++) {
			const rate = this.#weights[rank] / elapsedMs;
			const hidden = rate === 0 && admittedShareOf(rank, this.#floor) === 0;
			this.#demand[rank] = hidden
				? this.#demand[rank] * HIDDEN_DECAY
				: this.#demand[rank] + (SMOOTHING * (rate - this.#demand[rank]));
			this.#weights[rank] = 0;
		}
	}

	#choose(load: LoadView): number {
		if (!load.saturated && this.#floor === 0) {
			return 0;
		}

		let higher = 0;
		for (let rank = RANK_COUNT - 1; rank >= 0; rank--) {
			const demand = this.#demand[rank];
			const free = admissible(load, rank, higher);
			if (demand > free) {
				const open = Math.max(0, free / demand);
				return Math.min(MAX_FLOOR, (rank * LEVELS_PER_RANK) + Math.round((1 - open) * LEVELS_PER_RANK));
			}

			higher += demand;
		}

		return 0;
	}
}

// The rate that brings a rank's wait to its target within the horizon. A rank is
// served at the rate that the higher ones leave, which is what makes it wait.
function admissible(load: LoadView, rank: number, higher: number): number {
	const left = load.serviceRate - higher;
	if (left <= 0) {
		return 0;
	}

	const waitMs = load.waiting(rank * LEVELS_PER_RANK) / left;
	const correction = 1 + ((load.queueTargetMs - waitMs) / HORIZON_MS);
	return left * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction));
}
