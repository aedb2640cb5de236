/** The calls that are remembered. */
const MAX_CALLS = 128;

/** The last calls that the present start of the target has answered: the requests of these don't crash it. */
export class AnsweredCalls<T> {
	readonly #fingerprintOf: (call: T) => string;
	#calls: T[] = [];
	#next = 0;

	constructor(fingerprintOf: (call: T) => string) {
		this.#fingerprintOf = fingerprintOf;
	}

	record(call: T): void {
		this.#calls[this.#next] = call;
		this.#next = (this.#next + 1) % MAX_CALLS;
	}

	/** The fingerprints of the calls; they are computed only now, as that costs more than to remember a call. */
	fingerprints(): Set<string> {
		return new Set(this.#calls.map(call => this.#fingerprintOf(call)));
	}

	/** Forgets all, as another start of the target has begun. */
	reset(): void {
		this.#calls = [];
		this.#next = 0;
	}
}
