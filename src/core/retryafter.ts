import {type CoreContext} from './corecontext.js';

const BASE_MS = 1000;
const SPREAD_MS = 2000;
const MAX_SPREAD_MS = 30_000;
const WINDOW_MS = 1000;

/**
 * Tells refused callers when to come back. The longer the refused are in
 * proportion to the admitted, the wider their returns are spread, so that they
 * don't make a second peak.
 */
export class RetryAfterPolicy {
	readonly #kernel: CoreContext;
	#windowMs = 0;
	#admitted = 0;
	#refused = 0;
	#excess = 0;

	constructor(kernel: CoreContext) {
		this.#kernel = kernel;
	}

	onDecision(admitted: boolean): void {
		const {nowMs} = this.#kernel;
		if (nowMs - this.#windowMs >= WINDOW_MS) {
			this.#excess = this.#refused / Math.max(1, this.#admitted);
			this.#windowMs = nowMs;
			this.#admitted = 0;
			this.#refused = 0;
		}

		if (admitted) {
			this.#admitted++;
		} else {
			this.#refused++;
		}
	}

	/** For a refusal that has nothing to do with load, in ms. */
	fixedMs(): number {
		return BASE_MS;
	}

	/** For a refusal under load, in ms. */
	jitteredMs(): number {
		const spreadMs = Math.min(MAX_SPREAD_MS, SPREAD_MS * (1 + this.#excess));
		return Math.round(BASE_MS + (this.#kernel.random() * spreadMs));
	}
}
