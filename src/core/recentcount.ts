/** Counts what happened lately: within the last one to two spans of time. */
export class RecentCount {
	readonly #spanMs: number;
	#sinceMs = Number.NEGATIVE_INFINITY;
	#current = 0;
	#previous = 0;

	constructor(spanMs: number) {
		this.#spanMs = spanMs;
	}

	add(nowMs: number): void {
		this.#advance(nowMs);
		this.#current++;
	}

	total(nowMs: number): number {
		this.#advance(nowMs);
		return this.#previous + this.#current;
	}

	#advance(nowMs: number): void {
		const ageMs = nowMs - this.#sinceMs;
		if (ageMs >= this.#spanMs) {
			this.#previous = ageMs < 2 * this.#spanMs ? this.#current : 0;
			this.#current = 0;
			this.#sinceMs = nowMs;
		}
	}
}
