import process from 'node:process';
import {Clock, SystemClock} from './clock.js';

/** Reads another clock once for each callback of the event loop, because reading the time is a system call on some hosts. */
export class CachedClock extends Clock {
	readonly #source: Clock;
	#nowMs = 0;
	#isFresh = false;

	constructor(source: Clock = new SystemClock()) {
		super();
		this.#source = source;
	}

	override nowMs(): number {
		if (!this.#isFresh) {
			this.#nowMs = this.#source.nowMs();
			this.#isFresh = true;
			process.nextTick(() => {
				this.#isFresh = false;
			});
		}

		return this.#nowMs;
	}
}
