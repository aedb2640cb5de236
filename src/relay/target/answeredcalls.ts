import {type Call} from '../call.js';
import {fingerprintOf} from '../fingerprint.js';

/** The calls that are remembered. */
const MAX_CALLS = 128;
/** The largest body of a remembered call, in bytes. */
const MAX_BODY_BYTES = 1024;

/** The last calls that the present start of the target has answered: the requests of these don't crash it. */
export class AnsweredCalls {
	#calls: Call[] = [];
	#next = 0;

	record(call: Call): void {
		if (call.body.length <= MAX_BODY_BYTES) {
			this.#calls[this.#next] = call;
			this.#next = (this.#next + 1) % MAX_CALLS;
		}
	}

	/** The fingerprints of the calls; they are computed only now, as that costs more than to remember a call. */
	fingerprints(): Set<string> {
		return new Set(this.#calls.map(call => fingerprintOf(call)));
	}

	/** Forgets all, as another start of the target has begun. */
	reset(): void {
		this.#calls = [];
		this.#next = 0;
	}
}
