/** What is known of the time that a call takes at its target, and what it may take. */
export type FitCall = {
	/** Time by which the answer must have arrived, in ms. */
	readonly deadlineMs: number;
	/** Expected time at the target, in ms. */
	readonly serviceMs: number;
	/** The mean deviation from the expected time, in ms; absent if it is unknown. */
	readonly deviationMs?: number;
};

/**
 * Decides which calls can still be answered: those that end before their deadline if they take
 * their mean time and the mean deviation from it.
 * Handles the load pattern in which few runs take many times the mean, so that calls
 * started with the mean time left are often ended by their deadline.
 */
export class Fit {
	/** The time that a run is given, in ms. */
	runMs({serviceMs, deviationMs = 0}: Pick<FitCall, 'serviceMs' | 'deviationMs'>): number {
		return serviceMs + deviationMs;
	}

	/** The latest start at which the call can still be answered, in ms. */
	lastStartMs(call: FitCall): number {
		return call.deadlineMs - this.runMs(call);
	}

	/** Whether a call that waits for `waitMs` still ends before its deadline. */
	fits(call: FitCall, waitMs: number, nowMs: number): boolean {
		return nowMs + waitMs <= this.lastStartMs(call);
	}
}
