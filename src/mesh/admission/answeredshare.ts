/** Time constant of the counts, in ms: some tens of calls at the rates of a busy target, and a recovery shows within it. */
const TIME_CONSTANT_MS = 400;
/** Answered calls that are taken for granted, so that a few failures prove nothing. */
const PRIOR_CALLS = 2;

/**
 * Tracks which share of the calls that reached a target it answered, rather than
 * turned them away or broke them off. Without calls the share returns to 1.
 * Handles the load pattern in which a target turns away a share of its calls while its health is good.
 */
export class AnsweredShare {
	#calls = 0;
	#answered = 0;
	#countedMs = 0;

	record(isAnswered: boolean, nowMs: number): void {
		this.#decay(nowMs);
		this.#calls++;
		this.#answered += isAnswered ? 1 : 0;
	}

	/** Returns the share, from 0 to 1. */
	at(nowMs: number): number {
		this.#decay(nowMs);
		return (this.#answered + PRIOR_CALLS) / (this.#calls + PRIOR_CALLS);
	}

	#decay(nowMs: number): void {
		const factor = Math.exp(-Math.max(0, nowMs - this.#countedMs) / TIME_CONSTANT_MS);
		this.#countedMs = nowMs;
		this.#calls *= factor;
		this.#answered *= factor;
	}
}
