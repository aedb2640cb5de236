import {Clock} from './clock.js';

/**
 * Tells for how long the process has run, in ms: the times in which it was suspended, or got no processor, don't count.
 * Silence of others during these shows nothing.
 */
export class RunningClock extends Clock {
	readonly #source: Clock;
	readonly #maxStepMs: number;
	#runMs = 0;
	#tickMs: number;

	/** @param maxStepMs the most that counts between two ticks, in ms */
	constructor(source: Clock, maxStepMs: number) {
		super();
		this.#source = source;
		this.#maxStepMs = maxStepMs;
		this.#tickMs = source.nowMs();
	}

	override nowMs(): number {
		return this.#runMs + Math.min(this.#source.nowMs() - this.#tickMs, this.#maxStepMs);
	}

	/** Must be called from a timer, at intervals below the longest step. */
	tick(): void {
		this.#runMs = this.nowMs();
		this.#tickMs = this.#source.nowMs();
	}
}
