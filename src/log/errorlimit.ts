/** How many unexpected errors a process survives in this time, in ms. */
const MAX_ERRORS = 20;
const WINDOW_MS = 10_000;

/** Decides whether a process goes on after an error that no task expected: not after many in a short time. */
export class ErrorLimit {
	#timesMs: number[] = [];

	/** Records an error. @returns whether the process goes on */
	record(nowMs: number): boolean {
		this.#timesMs = [...this.#timesMs.filter(timeMs => nowMs - timeMs < WINDOW_MS), nowMs];
		return this.#timesMs.length <= MAX_ERRORS;
	}
}
