import {type Answer} from './answer.js';

/** Share of the declared slots with which a cold target starts. */
const COLD_SHARE = 0.25;
const REFUSAL_FACTOR = 0.9;

/**
 * Limits how many calls a target runs at once. The limit starts low for a cold
 * target, rises by one with each success up to the declared slots, and falls
 * when the target refuses a call.
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

	onAnswer({outcome, reason}: Answer): void {
		if (outcome === 'complete') {
			this.onSuccess();
		} else if (reason === 'target-refused') {
			this.onRefusal();
		}
	}

	/** Raises the limit by one after a complete answer. While the limit is reached, this doubles the limit once per service time. */
	onSuccess(): void {
		this.#value = Math.min(this.#slots, this.#value + 1);
	}

	/** Lowers the limit after the target has refused a call within it. */
	onRefusal(): void {
		this.#value = Math.max(1, this.#value * REFUSAL_FACTOR);
	}
}
