import {type CallHandle} from '../call.js';

/** How long a request that is past its deadline waits for word of whether its call has run, in ms: a few round trips, and well within the tolerance of a timeout. */
const WORD_MS = 50;

/** Takes back the call of a request whose deadline has passed, and waits for its owner's word of whether it has run. */
export class Withdrawal {
	#untilMs: number | undefined;

	/** @returns whether the owner may still say that the call hasn't run */
	isPending(handle: CallHandle | undefined, nowMs: number): boolean {
		this.#untilMs ??= handle?.withdraw() === true ? nowMs + WORD_MS : nowMs;
		return nowMs < this.#untilMs;
	}
}
