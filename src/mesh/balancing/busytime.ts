/** Measures for how long at least one of several overlapping activities was under way, in ms. */
export class BusyTime {
	#count = 0;
	#sinceMs = 0;
	#totalMs = 0;

	/** @param change 1 for an activity that begins, -1 for one that ends */
	add(change: 1 | -1, nowMs: number): void {
		if (this.#count > 0) {
			this.#totalMs += nowMs - this.#sinceMs;
		}

		this.#sinceMs = nowMs;
		this.#count = Math.max(0, this.#count + change);
	}

	totalMs(nowMs: number): number {
		return this.#totalMs + (this.#count > 0 ? nowMs - this.#sinceMs : 0);
	}
}
