/** What the owner of a target does next: run calls as usual, wait for its runs to end, or begin a trial. */
export type TrialStep = 'run' | 'drain' | 'begin';

/** How long a trial waits for the runs in flight to end, in ms; the few that are left then share its risk. */
const MAX_DRAIN_MS = 300;
/** How long a trial has the target to itself, in ms: longer, and the calls that wait would pay more than for a crash. */
const MAX_ALONE_MS = 400;

/**
 * Decides when a suspect runs alone at a target, so that nothing else is lost if the target crashes.
 * After a trial, other calls have the target for as long as they were kept from it.
 */
export class TrialSchedule {
	#drainingSinceMs: number | undefined;
	#begunMs: number | undefined;
	#restUntilMs = Number.NEGATIVE_INFINITY;

	/** @param waiting the number of suspects that wait @param running the number of runs in flight */
	next(waiting: number, running: number, nowMs: number): TrialStep {
		if (this.#begunMs !== undefined) {
			return nowMs - this.#begunMs < MAX_ALONE_MS ? 'drain' : 'run';
		}

		if (waiting === 0 || nowMs < this.#restUntilMs) {
			this.#drainingSinceMs = undefined;
			return 'run';
		}

		this.#drainingSinceMs ??= nowMs;
		return running === 0 || nowMs - this.#drainingSinceMs >= MAX_DRAIN_MS ? 'begin' : 'drain';
	}

	onBegun(nowMs: number): void {
		this.#begunMs = nowMs;
	}

	onEnded(nowMs: number): void {
		const keptMs = Math.min(nowMs - (this.#drainingSinceMs ?? nowMs), MAX_DRAIN_MS + MAX_ALONE_MS);
		this.#restUntilMs = nowMs + keptMs;
		this.#begunMs = undefined;
		this.#drainingSinceMs = undefined;
	}
}
