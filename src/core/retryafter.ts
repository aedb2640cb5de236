import {type CoreContext} from './corecontext.js';

/** Shortest delay before a retry, in ms. */
const MIN_DELAY_MS = 1000;
/** Range of the random jitter while no request is refused, in ms. */
const MIN_JITTER_RANGE_MS = 2000;
const MAX_JITTER_RANGE_MS = 30_000;
/** Period over which refused and admitted requests are counted, in ms. */
const WINDOW_MS = 1000;

/**
 * Chooses the delay after which refused callers retry. The jitter grows with the
 * ratio of refused to admitted requests, so that the retries don't arrive as a
 * second peak.
 */
export class RetryAfterPolicy {
	readonly #context: CoreContext;
	#windowStartMs = 0;
	#admitted = 0;
	#refused = 0;
	#refusedPerAdmitted = 0;

	constructor(context: CoreContext) {
		this.#context = context;
	}

	onDecision(admitted: boolean): void {
		const {nowMs} = this.#context;
		if (nowMs - this.#windowStartMs >= WINDOW_MS) {
			this.#refusedPerAdmitted = this.#refused / Math.max(1, this.#admitted);
			this.#windowStartMs = nowMs;
			this.#admitted = 0;
			this.#refused = 0;
		}

		if (admitted) {
			this.#admitted++;
		} else {
			this.#refused++;
		}
	}

	/** Returns the delay after a refusal that is not caused by load, in ms. */
	fixedMs(): number {
		return MIN_DELAY_MS;
	}

	/** Returns the delay after a refusal under load, in ms. */
	jitteredMs(): number {
		const jitterRangeMs = Math.min(MAX_JITTER_RANGE_MS, MIN_JITTER_RANGE_MS * (1 + this.#refusedPerAdmitted));
		return Math.round(MIN_DELAY_MS + (this.#context.random() * jitterRangeMs));
	}
}
