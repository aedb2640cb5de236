import TinyQueue from 'tinyqueue';

type Event = {readonly atMs: number; readonly order: number; readonly action: () => void};

/** Runs actions in virtual time; actions due at the same time run in the order in which they were scheduled. */
export class Scheduler {
	#nowMs: number;
	#order = 0;
	readonly #events = new TinyQueue<Event>([], (a, b) => a.atMs - b.atMs || a.order - b.order);

	constructor(startMs: number) {
		this.#nowMs = startMs;
	}

	get nowMs(): number {
		return this.#nowMs;
	}

	schedule(delayMs: number, action: () => void): void {
		this.#events.push({atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order++, action});
	}

	/** Runs all actions that are due by a time and advances the clock to it. */
	runUntil(untilMs: number): void {
		for (let next = this.#events.peek(); next !== undefined && next.atMs <= untilMs; next = this.#events.peek()) {
			this.#events.pop();
			this.#nowMs = next.atMs;
			next.action();
		}

		this.#nowMs = untilMs;
	}
}
