const COLD_SHARE = 0.25;
const REFUSAL_FACTOR = 0.9;

/**
 * How many requests a target runs at once. Starts low for a cold target, rises
 * with each success to the declared slots, and falls when the target refuses.
 */
export class ConcurrencyLimit {
	readonly #slots: number;
	#value: number;

	constructor(slots: number, cold: boolean) {
		this.#slots = slots;
		this.#value = cold ? Math.max(1, slots * COLD_SHARE) : slots;
	}

	get value(): number {
		return Math.floor(this.#value);
	}

	/** A whole answer came back. At the limit this doubles the limit once per service time. */
	onSuccess(): void {
		this.#value = Math.min(this.#slots, this.#value + 1);
	}

	/** The target refused although its slots should have been free. */
	onRefusal(): void {
		this.#value = Math.max(1, this.#value * REFUSAL_FACTOR);
	}
}
