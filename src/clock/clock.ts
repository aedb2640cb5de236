import {performance} from 'node:perf_hooks';

/** Tells the time in ms since the Unix epoch (1970). The time never goes back. */
export abstract class Clock {
	abstract nowMs(): number;
}

/** Adds the monotonic time since the process start to the wall-clock time at that start, so wall-clock corrections have no effect. */
export class SystemClock extends Clock {
	override nowMs(): number {
		return performance.timeOrigin + performance.now();
	}
}

/** A clock that tests and benchmarks advance explicitly. */
export class ManualClock extends Clock {
	#nowMs: number;

	constructor(startMs: number) {
		super();
		this.#nowMs = startMs;
	}

	override nowMs(): number {
		return this.#nowMs;
	}

	/** Sets the clock to a later time; an earlier time is ignored. */
	advanceTo(nowMs: number): void {
		this.#nowMs = Math.max(this.#nowMs, nowMs);
	}
}
