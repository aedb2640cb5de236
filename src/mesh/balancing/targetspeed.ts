/** Weight of one run in the usual time of its route, once enough runs were seen. */
const USUAL_WEIGHT = 0.02;
/** Weight of one run in the recent slowness, so that four runs of a target that has become five times slower suffice. */
const RECENT_WEIGHT = 0.15;
/** Runs of a route before its usual time is known. */
const MIN_RUNS = 8;
/** The recent slowness from which a target counts as slow, and below which it no longer does; the gap keeps it from alternating. */
const SLOW_FROM = 2.2;
const SLOW_UNTIL = 1.5;
/** Limits what one run contributes, because a single long run isn't a slow target. */
const MAX_SLOWNESS = 8;
/** The shortest time between two reports that a target is still slow, in ms. */
const REPORT_INTERVAL_MS = 1500;
/** Weight of one outcome in the share of runs that fail. */
const FAILURE_WEIGHT = 0.05;

type UsualTime = {runs: number; meanMs: number};

/**
 * Compares how long the local target works on each run with the usual time of
 * the run's route. Time that the target waits for its own calls doesn't count,
 * so that a slow service isn't mistaken for slow ones above it, and neither does
 * a copy that is always slower than others.
 * Handles the load pattern in which a few targets of many turn slow without
 * failing: each daemon sends one target so few calls that only the daemon
 * beside it can tell soon.
 */
export class TargetSpeed {
	readonly #usual = new Map<string, UsualTime>();
	#recent = 1;
	#slowSinceMs: number | undefined;
	#reportedMs = Number.NEGATIVE_INFINITY;
	#failureShare = 0;

	/** By what factor the target is slower than usual; 1 unless it counts as slow. */
	get slowness(): number {
		return this.#slowSinceMs === undefined ? 1 : this.#recent;
	}

	/** Share of the last runs that the target shed or failed. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** When the target became slow, in ms; undefined if it isn't. */
	get slowSinceMs(): number | undefined {
		return this.#slowSinceMs;
	}

	/** Records whether the target shed or failed a run. */
	recordOutcome(hasFailed: boolean): void {
		this.#failureShare += ((hasFailed ? 1 : 0) - this.#failureShare) * FAILURE_WEIGHT;
	}

	/**
	 * Records the work of one run, without the time for its own calls.
	 * @returns whether peers should hear of the slowness: it began, goes on or ended
	 */
	record(route: string, workMs: number, nowMs: number): boolean {
		const usual = this.#usual.get(route) ?? {runs: 0, meanMs: 0};
		this.#usual.set(route, usual);
		if (usual.runs >= MIN_RUNS) {
			const slowness = Math.min(MAX_SLOWNESS, workMs / Math.max(1, usual.meanMs));
			this.#recent += (slowness - this.#recent) * RECENT_WEIGHT;
		}

		// While the target is slow, its runs don't tell what is usual.
		if (this.#slowSinceMs === undefined) {
			usual.runs++;
			usual.meanMs += (workMs - usual.meanMs) * Math.max(1 / usual.runs, USUAL_WEIGHT);
		}

		return this.#updateState(nowMs);
	}

	/** Starts over, as another target runs beside this daemon. */
	reset(): void {
		this.#usual.clear();
		this.#recent = 1;
		this.#slowSinceMs = undefined;
		this.#failureShare = 0;
	}

	#updateState(nowMs: number): boolean {
		const wasSlow = this.#slowSinceMs !== undefined;
		if (this.#recent >= SLOW_FROM) {
			this.#slowSinceMs ??= nowMs;
		} else if (this.#recent < SLOW_UNTIL) {
			this.#slowSinceMs = undefined;
		}

		const isSlow = this.#slowSinceMs !== undefined;
		const isDue = isSlow === wasSlow ? isSlow && nowMs - this.#reportedMs >= REPORT_INTERVAL_MS : true;
		if (isDue) {
			this.#reportedMs = nowMs;
		}

		return isDue;
	}
}
