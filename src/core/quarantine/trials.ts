import {type Quarantine} from './quarantine.js';
import {TrialSchedule} from './trialschedule.js';

/** The most suspects that wait at a target; with more, they are refused as if the queue were full. */
const MAX_WAITING = 256;
/** How much time a suspect that waits for another target is left to run: this many times the expected one, and this many ms. */
const RUN_ROOM = 2;
const LATE_ROOM_MS = 450;
/** How long others still wait after a trial was aborted, in ms: the target may crash of what it had begun. */
const AFTER_ABORT_MS = 100;

/** A call at the owner of its target, as far as a trial concerns it. */
export type TrialCall = {
	readonly fingerprint: string;
	readonly deadlineMs: number;
	/** How long its run is expected to take, in ms. */
	readonly serviceMs: number;
};

/** The queue of the target whose calls are tried. */
export type TrialQueue = {
	readonly running: number;
	/** Whether no call may begin to run. */
	isPaused: boolean;
	/** @returns false if all slots are in use */
	readonly takeSlot: (nowMs: number) => boolean;
};

/** Why a call isn't tried. */
export type TrialRefusal = 'quarantined' | 'full' | 'expired';

export type TrialsOptions<T extends TrialCall> = {
	readonly quarantine: Quarantine;
	readonly queue: TrialQueue;
	/** Begins to run a call that holds a slot. @returns false if it doesn't: the call is refused then, and the slot is free again */
	readonly start: (call: T) => boolean;
	/** Decides on a call that is no suspect any longer, as if it had just arrived. */
	readonly admit: (call: T) => void;
	readonly refuse: (call: T, reason: TrialRefusal) => void;
	readonly onBegun: (call: T) => void;
	/** Whether all other targets of the service have crashed and aren't back yet. */
	readonly isLastTarget: () => boolean;
};

/** Runs the calls that may crash the target, one at a time and alone, while all others wait. */
export class Trials<T extends TrialCall> {
	readonly #options: TrialsOptions<T>;
	readonly #schedule = new TrialSchedule();
	readonly #waiting: T[] = [];
	#onTrial: T | undefined;
	/** When the trial was aborted, as nobody waited for it any longer, in ms; undefined if it wasn't. */
	#abortedMs: number | undefined;

	constructor(options: TrialsOptions<T>) {
		this.#options = options;
	}

	/** Whether a suspect waits or runs. */
	get isActive(): boolean {
		return this.#waiting.length > 0 || this.#onTrial !== undefined;
	}

	/** Takes a call over if it is a suspect or held. @returns whether it did */
	take(call: T, nowMs: number): boolean {
		const {quarantine, refuse} = this.#options;
		if (call === this.#onTrial || !quarantine.isActive) {
			return false;
		}

		const verdict = quarantine.verdictOf(call.fingerprint, nowMs);
		if (verdict === 'pass') {
			return false;
		}

		if (verdict === 'refuse') {
			refuse(call, 'quarantined');
		} else if (this.#waiting.length >= MAX_WAITING) {
			refuse(call, 'full');
		} else {
			this.#waiting.push(call);
			this.advance(nowMs);
		}

		return true;
	}

	/** Begins what is due, and refuses what has waited too long. */
	advance(nowMs: number): void {
		if (this.#abortedMs !== undefined && nowMs - this.#abortedMs >= AFTER_ABORT_MS) {
			this.#end(nowMs);
		}

		if (this.isActive) {
			this.#judgeWaiting(nowMs);
		}

		const {queue, start, onBegun} = this.#options;
		const due = this.#listDue(nowMs);
		const step = this.#schedule.next(due.length, queue.running, nowMs);
		queue.isPaused = step !== 'run';
		if (step === 'begin' && queue.takeSlot(nowMs)) {
			[this.#onTrial] = due;
			this.cancel(this.#onTrial);
			this.#schedule.onBegun(nowMs);
			onBegun(this.#onTrial);
			if (!start(this.#onTrial)) {
				this.#end(nowMs);
				this.#resumeIfIdle();
			}
		}
	}

	/** Lets others run again if this run was the trial. */
	onRunEnded(call: T, nowMs: number): void {
		if (call === this.#onTrial && this.#abortedMs === undefined) {
			this.#end(nowMs);
		}
	}

	/** Has others wait a little longer if this run is the trial. */
	onRunAborted(call: T, nowMs: number): void {
		if (call === this.#onTrial) {
			this.#abortedMs = nowMs;
		}
	}

	/** Removes a waiting call. @returns whether it was waiting here */
	cancel(call: T): boolean {
		const index = this.#waiting.indexOf(call);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
			this.#resumeIfIdle();
		}

		return index !== -1;
	}

	/** Removes all waiting calls. */
	clear(): T[] {
		const all = this.#waiting.splice(0);
		this.#resumeIfIdle();
		return all;
	}

	#end(nowMs: number): void {
		this.#onTrial = undefined;
		this.#abortedMs = undefined;
		this.#schedule.onEnded(nowMs);
	}

	#resumeIfIdle(): void {
		this.#options.queue.isPaused &&= this.isActive;
	}

	// With no other target left, a suspect waits for one as long as it can.
	#listDue(nowMs: number): T[] {
		const isLast = this.#waiting.length > 0 && this.#options.isLastTarget();
		return isLast ? this.#waiting.filter(({deadlineMs, serviceMs}) => nowMs >= deadlineMs - (serviceMs * RUN_ROOM) - LATE_ROOM_MS) : this.#waiting;
	}

	// What was learned since they came may have cleared or convicted them.
	#judgeWaiting(nowMs: number): void {
		const {
			quarantine, admit, refuse,
		} = this.#options;
		for (const call of this.#waiting.splice(0)) {
			const verdict = quarantine.verdictOf(call.fingerprint, nowMs);
			if (nowMs >= call.deadlineMs) {
				refuse(call, 'expired');
			} else if (verdict === 'trial') {
				this.#waiting.push(call);
			} else if (verdict === 'refuse') {
				refuse(call, 'quarantined');
			} else {
				admit(call);
			}
		}
	}
}
