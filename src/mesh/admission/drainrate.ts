/** The shortest time over which a rate is measured, in ms. */
const WINDOW_MS = 100;
/** Weight of the latest window. */
const SAMPLE_WEIGHT = 0.3;

/** Measures how fast a queue that isn't empty is served: what goes before it, and will come before it, leaves no more. */
export class DrainRate {
	#perMs: number | undefined;
	#amount = 0;
	#sinceMs: number;

	constructor(nowMs: number) {
		this.#sinceMs = nowMs;
	}

	/** What is served in a ms; undefined until the queue has waited for some time. */
	get perMs(): number | undefined {
		return this.#perMs;
	}

	add(amount: number, nowMs: number): void {
		this.#amount += amount;
		const elapsedMs = nowMs - this.#sinceMs;
		if (elapsedMs >= WINDOW_MS) {
			const sample = this.#amount / elapsedMs;
			this.#perMs = this.#perMs === undefined ? sample : this.#perMs + ((sample - this.#perMs) * SAMPLE_WEIGHT);
			this.#sinceMs = nowMs;
			this.#amount = 0;
		}
	}
}
