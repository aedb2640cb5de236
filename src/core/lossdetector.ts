import {type ReceivedCall} from './receivedcall.js';

/** How soon after the first run all others in flight are lost if the target has crashed, in ms. */
const LOSS_WINDOW_MS = 50;
/** How long after the first loss an answer may arrive that a crashed target had sent, in ms. */
const LATE_ANSWER_MS = 5;
/** How long a run counts as in flight after it was aborted, in ms: what it began may go on. */
const ABORTED_MEMORY_MS = 500;
/** The most runs of one crash that are remembered; in more, the ones that began last count. */
const MAX_LOST = 256;

/** A run that ended without an answer, with how long it had lasted in ms. */
export type LostRun = {readonly received: ReceivedCall; readonly ranMs: number};

/**
 * Tells a crash of the target from a single connection that it closed: all runs in flight are lost within moments, those
 * just aborted among them. A target needn't refuse connections after a crash, so nothing else is asked for.
 */
export class LossDetector {
	#lost: LostRun[] = [];
	#aborted: Array<LostRun & {readonly atMs: number}> = [];
	#firstLostMs = 0;

	/** Records that the target ended the connection of a run. */
	onLost(received: ReceivedCall, nowMs: number): void {
		if (this.#lost.length === 0) {
			this.#firstLostMs = nowMs;
		}

		this.#lost.push({received, ranMs: nowMs - received.startedMs});
	}

	/** Records that this daemon ended a run, as nobody waits for it any longer. */
	onAborted(received: ReceivedCall, nowMs: number): void {
		this.#aborted = [...this.#aborted.filter(({atMs}) => nowMs - atMs <= ABORTED_MEMORY_MS), {received, ranMs: nowMs - received.startedMs, atMs: nowMs}].slice(-MAX_LOST);
	}

	/** Records that the target has answered a run, so that losses before it were of single connections. */
	onServed(nowMs: number): void {
		if (nowMs - this.#firstLostMs > LATE_ANSWER_MS) {
			this.#lost = [];
		}
	}

	/** @param hasRunsFrom tells whether a run that began until then is still in flight @returns the runs that were lost at a crash; none if the target hasn't crashed, as far as is known by now */
	takeCrash(hasRunsFrom: (untilMs: number) => boolean, nowMs: number): LostRun[] {
		if (this.#lost.length === 0) {
			return [];
		}

		if (hasRunsFrom(this.#firstLostMs)) {
			if (nowMs - this.#firstLostMs > LOSS_WINDOW_MS) {
				this.#lost = [];
			}

			return [];
		}

		const aborted = this.#aborted.filter(({atMs}) => this.#firstLostMs - atMs <= ABORTED_MEMORY_MS);
		const lost = [...this.#lost, ...aborted].toSorted((a, b) => a.ranMs - b.ranMs).slice(0, MAX_LOST);
		this.#lost = [];
		this.#aborted = [];
		return lost;
	}
}
