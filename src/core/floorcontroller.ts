import {
	LEVELS_PER_RANK, MAX_FLOOR, RANK_COUNT, admittedShareOf, rankOf,
} from './level.js';

const UPDATE_INTERVAL_MS = 50;
/** Time within which the floor brings the queue wait to its target, in ms. */
const CORRECTION_TIME_MS = 500;
/** Weight of the latest interval in the moving average of the demand. */
const DEMAND_SMOOTHING = 0.15;
/** Largest weight of one arrival; it bounds the weight when the sender's floor admits almost nothing. */
const MAX_ARRIVAL_WEIGHT = 50;
/** Factor per interval on the demand of a rank without arrivals that the floor refuses as a whole. */
const HIDDEN_DEMAND_DECAY = 0.995;
/** Bounds of the factor by which the queue wait corrects the rate. */
const MIN_CORRECTION = 0.5;
const MAX_CORRECTION = 1.5;

/** The load of a target, from which its daemon sets the floor. */
export type LoadView = {
	/** Work that the target completes per ms while all its slots are busy, in the unit of the arrivals' weights. */
	readonly serviceRate: number;
	/** Returns how much work is queued at a level or above. */
	readonly queuedWork: (level: number) => number;
	/** Returns the wait that the calls of a rank should not exceed, in ms. */
	readonly queueTargetMs: (rank: number) => number;
	/** Whether any call is queued or every slot is busy. */
	readonly isSaturated: boolean;
};

/**
 * Computes the floor of a target: the lowest admitted priority level. Requests
 * below it are shed, because the target can't serve them in time.
 *
 * Each arrival is weighted by the inverse of the share of requests that the
 * sender's floor admitted. The estimate is therefore of the demand before load
 * shedding, and doesn't fall when senders begin to shed. The floor then follows
 * in one step from demand and capacity, rank by rank from the highest, corrected
 * by the queue wait of each rank.
 */
export class FloorController {
	readonly #weights = new Float64Array(RANK_COUNT);
	readonly #demand = new Float64Array(RANK_COUNT);
	#updatedMs = 0;
	#floor = 0;

	get floor(): number {
		return this.#floor;
	}

	/** Estimates the queue wait of a rank, in ms: it is served at the rate that the higher ranks leave. */
	estimateWaitMs(rank: number, waiting: number, serviceRate: number): number {
		let remainingRate = serviceRate;
		for (let higher = rank + 1; higher < RANK_COUNT; higher++) {
			remainingRate -= this.#demand[higher];
		}

		return remainingRate > 0 ? waiting / remainingRate : Number.POSITIVE_INFINITY;
	}

	/** Counts a call that its first daemon admitted under `senderFloor`, with the work that it brings. */
	onArrival(level: number, senderFloor: number, work = 1): void {
		const rank = rankOf(level);
		const share = admittedShareOf(rank, senderFloor);
		this.#weights[rank] += work * (share <= 1 / MAX_ARRIVAL_WEIGHT ? MAX_ARRIVAL_WEIGHT : 1 / share);
	}

	/** Sets the floor again if the update interval has passed. */
	update(nowMs: number, load: () => LoadView): void {
		const elapsedMs = nowMs - this.#updatedMs;
		if (elapsedMs < UPDATE_INTERVAL_MS) {
			return;
		}

		this.#updatedMs = nowMs;
		this.#estimateDemand(elapsedMs);
		this.#floor = this.#chooseFloor(load());
	}

	#estimateDemand(elapsedMs: number): void {
		for (let rank = 0; rank < RANK_COUNT; rank++) {
			const rate = this.#weights[rank] / elapsedMs;
			const isHidden = rate === 0 && admittedShareOf(rank, this.#floor) === 0;
			this.#demand[rank] = isHidden
				? this.#demand[rank] * HIDDEN_DEMAND_DECAY
				: this.#demand[rank] + (DEMAND_SMOOTHING * (rate - this.#demand[rank]));
			this.#weights[rank] = 0;
		}
	}

	#chooseFloor(load: LoadView): number {
		if (!load.isSaturated && this.#floor === 0) {
			return 0;
		}

		let higherDemand = 0;
		for (let rank = RANK_COUNT - 1; rank >= 0; rank--) {
			const demand = this.#demand[rank];
			const admissibleRate = computeAdmissibleRate(load, rank, higherDemand);
			if (demand > admissibleRate) {
				const admitted = Math.max(0, admissibleRate / demand);
				return Math.min(MAX_FLOOR, (rank * LEVELS_PER_RANK) + Math.round((1 - admitted) * LEVELS_PER_RANK));
			}

			higherDemand += demand;
		}

		return 0;
	}
}

// Returns the arrival rate that brings a rank's wait to its target within the
// correction time. A rank is served at the rate that the higher ranks leave.
function computeAdmissibleRate(load: LoadView, rank: number, higherDemand: number): number {
	const remainingRate = load.serviceRate - higherDemand;
	if (remainingRate <= 0) {
		return 0;
	}

	const waitMs = load.queuedWork(rank * LEVELS_PER_RANK) / remainingRate;
	const correction = 1 + ((load.queueTargetMs(rank) - waitMs) / CORRECTION_TIME_MS);
	return remainingRate * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction));
}
