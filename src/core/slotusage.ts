const FIRST_GUESS_MS = 100;
const SMOOTHING = 0.05;

/** Slot time in ms. */
export type SlotTime = {readonly spentMs: number; readonly wastedMs: number};

/** How long requests hold a slot, and how much of that time came to nothing. */
export class SlotUsage {
	#meanMs = FIRST_GUESS_MS;
	#spentMs = 0;
	#wastedMs = 0;

	/** The mean time for which a whole answer held its slot, in ms. */
	get meanRunMs(): number {
		return this.#meanMs;
	}

	get slotTime(): SlotTime {
		return {spentMs: this.#spentMs, wastedMs: this.#wastedMs};
	}

	recordRun(spentMs: number, complete: boolean): void {
		this.#spentMs += spentMs;
		if (complete) {
			this.#meanMs += SMOOTHING * (Math.max(1, spentMs) - this.#meanMs);
		} else {
			this.#wastedMs += spentMs;
		}
	}
}
