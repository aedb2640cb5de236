/** Mean run time that is assumed before the first answer, in ms. */
const INITIAL_MEAN_RUN_MS = 100;
/** Weight of the latest complete answer in the moving average. */
const SMOOTHING = 0.05;

/** Slot time that runs have used, and the part of it that ended without a complete answer, in ms. */
export type SlotTime = {readonly spentMs: number; readonly wastedMs: number};

/** Records how long calls hold a slot, and how much of that time ended without a complete answer. */
export class SlotUsage {
	#meanRunMs = INITIAL_MEAN_RUN_MS;
	#spentMs = 0;
	#wastedMs = 0;

	/** The moving average of the time for which calls with a complete answer held their slot, in ms. */
	get meanRunMs(): number {
		return this.#meanRunMs;
	}

	get slotTime(): SlotTime {
		return {spentMs: this.#spentMs, wastedMs: this.#wastedMs};
	}

	recordRun(spentMs: number, isComplete: boolean): void {
		this.#spentMs += spentMs;
		if (isComplete) {
			this.#meanRunMs += SMOOTHING * (Math.max(1, spentMs) - this.#meanRunMs);
		} else {
			this.#wastedMs += spentMs;
		}
	}
}
