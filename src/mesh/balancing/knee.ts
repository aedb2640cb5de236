/** Weight of one run in the means of the bands. */
const RUN_WEIGHT = 0.05;
/** Runs in each band before they are compared. */
const MIN_RUNS = 20;
/** Share of the limit in use from which a run belongs to the full band, and from which to the half-full one. */
const FULL_FROM = 0.87;
const HALF_FULL_FROM = 0.5;
/** By what factor runs must be slower in the full band for the limit to sink by a step. */
const SLOWER_FROM = 1.2;
const STEP = 0.1;
const MIN_SHARE = 0.6;
/** How long a lowered limit holds before it is tried a step higher, in ms. */
const HOLD_MS = 20_000;

class Band {
	runs = 0;
	mean = 0;

	record(relativeTime: number): void {
		this.runs++;
		this.mean += (relativeTime - this.mean) * Math.max(1 / this.runs, RUN_WEIGHT);
	}
}

/**
 * Finds the share of its slots above which a target takes so much longer for each run
 * that fewer at once serve more. The times must be without the load of its machine: a target
 * on a slow one fills up, and would look like one that is slow because it is full.
 * Handles the load pattern in which targets slow down when nearly full.
 */
export class Knee {
	#share = 1;
	#changedMs = 0;
	#full = new Band();
	#halfFull = new Band();

	/** Starts over, as another target runs beside this daemon. */
	reset(): void {
		this.#set(1, 0);
	}

	/** The share of its usual limit that the target should run at once. */
	get share(): number {
		return this.#share;
	}

	/**
	 * @param load the share of the present limit in use when the run began
	 * @param relativeTime its time compared to the usual of its route
	 * @returns whether the share has changed
	 */
	record(load: number, relativeTime: number, nowMs: number): boolean {
		if (load >= FULL_FROM) {
			this.#full.record(relativeTime);
		} else if (load >= HALF_FULL_FROM) {
			this.#halfFull.record(relativeTime);
		}

		if (this.#full.runs >= MIN_RUNS && this.#halfFull.runs >= MIN_RUNS && this.#full.mean > this.#halfFull.mean * SLOWER_FROM && this.#share > MIN_SHARE) {
			this.#set(Math.max(MIN_SHARE, this.#share - STEP), nowMs);
			return true;
		}

		if (this.#share < 1 && nowMs - this.#changedMs > HOLD_MS) {
			this.#set(Math.min(1, this.#share + STEP), nowMs);
			return true;
		}

		return false;
	}

	#set(share: number, nowMs: number): void {
		this.#share = share;
		this.#changedMs = nowMs;
		this.#full = new Band();
		this.#halfFull = new Band();
	}
}
