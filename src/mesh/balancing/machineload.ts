/** Weight of one run in the means. */
const RUN_WEIGHT = 0.05;
/** Runs before the claims may count. */
const MIN_RUNS = 20;
/** The error of a prediction by the claims, as a share of that without them, below which they count, and from which they no longer do. */
const BELIEVED_BELOW = 0.85;
const DROPPED_FROM = 1;
/** How long a claim counts, in ms. */
const CLAIM_TTL_MS = 500;

/** A run that ended, and what was expected of it. */
export type ObservedRun = {
	readonly route: string;
	readonly spentMs: number;
	/** The load of the machine as it was claimed when the run began; undefined if it wasn't known. */
	readonly machineLoad: number | undefined;
	/** The mean time of the route's runs before this one, in ms; 0 if there were none. */
	readonly meanMs: number;
};

/**
 * Works out how long a call takes at a target now from the target's claim of how long
 * work takes on its machine, compared to usual. The claim counts only while it predicts the
 * times of runs better than their mean does, so that a wrong one changes nothing.
 * Handles the load pattern in which targets share their machines, and become
 * slower and faster within fewer runs than a mean needs to follow.
 */
export class MachineLoad {
	/** Mean times of the routes' runs, each divided by the claim under which it began, in ms. */
	readonly #basesMs = new Map<string, number>();
	#claim = 1;
	#claimedAtMs = Number.NEGATIVE_INFINITY;
	#runs = 0;
	#claimError = 0;
	#meanError = 0;
	#isBelieved = false;

	/** Whether the claims predict the times of runs. */
	get isBelieved(): boolean {
		return this.#isBelieved;
	}

	/** The mean error of predictions by the claims, and by the mean, as a share of the time. */
	get errors(): {readonly claim: number; readonly mean: number} {
		return {claim: this.#claimError, mean: this.#meanError};
	}

	/** @param claim how long work takes on the machine now, where 1 is as usual */
	onClaim(claim: number, nowMs: number): void {
		this.#claim = claim;
		this.#claimedAtMs = nowMs;
	}

	/** The last claim; undefined if it is old. */
	claimAt(nowMs: number): number | undefined {
		return nowMs - this.#claimedAtMs < CLAIM_TTL_MS ? this.#claim : undefined;
	}

	/** How long a run took compared to the route's usual, the load of the machine aside; undefined if it isn't known. */
	relativeTimeOf({route, spentMs, machineLoad}: ObservedRun): number | undefined {
		const baseMs = this.#basesMs.get(route);
		return machineLoad === undefined || baseMs === undefined ? undefined : spentMs / machineLoad / Math.max(1, baseMs);
	}

	/** @returns whether the claims have begun to count, or no longer do */
	record({route, spentMs, machineLoad, meanMs}: ObservedRun): boolean {
		if (machineLoad === undefined) {
			return false;
		}

		const baseMs = this.#basesMs.get(route);
		this.#basesMs.set(route, baseMs === undefined ? spentMs / machineLoad : baseMs + (((spentMs / machineLoad) - baseMs) * RUN_WEIGHT));
		if (baseMs === undefined || meanMs === 0) {
			return false;
		}

		this.#runs++;
		const weight = Math.max(1 / this.#runs, RUN_WEIGHT);
		this.#claimError += ((Math.abs(spentMs - (baseMs * machineLoad)) / meanMs) - this.#claimError) * weight;
		this.#meanError += ((Math.abs(spentMs - meanMs) / meanMs) - this.#meanError) * weight;
		const wasBelieved = this.#isBelieved;
		this.#isBelieved = this.#runs >= MIN_RUNS && this.#claimError < this.#meanError * (wasBelieved ? DROPPED_FROM : BELIEVED_BELOW);
		return this.#isBelieved !== wasBelieved;
	}

	/** How long a call of the route takes if it begins now, in ms. @param meanMs how long it takes on average */
	expectedMs(route: string, meanMs: number, nowMs: number): number {
		const claim = this.#isBelieved ? this.claimAt(nowMs) : undefined;
		const baseMs = this.#basesMs.get(route);
		return claim === undefined || baseMs === undefined ? meanMs : baseMs * claim;
	}

	/** Starts over, as another target runs beside this daemon. */
	reset(): void {
		this.#basesMs.clear();
		this.#claimedAtMs = Number.NEGATIVE_INFINITY;
		this.#runs = 0;
		this.#claimError = 0;
		this.#meanError = 0;
		this.#isBelieved = false;
	}
}
