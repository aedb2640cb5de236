import {type TrialQueue} from './quarantine/index.js';

/** The slots of the target beside this daemon. */
export class TargetSlots implements TrialQueue {
	/** Whether no call may begin to run, but one that may crash the target. */
	isPaused = false;
	readonly #limit: () => number;
	#running = 0;

	/** @param limit how many calls the target runs at once at most */
	constructor(limit: () => number) {
		this.#limit = limit;
	}

	get running(): number {
		return this.#running;
	}

	/** Whether another call may begin to run. */
	get isFree(): boolean {
		return !this.isPaused && this.#running < this.#limit();
	}

	/** @returns false, without effect, if all slots are in use */
	takeSlot(): boolean {
		if (this.#running >= this.#limit()) {
			return false;
		}

		this.#running++;
		return true;
	}

	release(): void {
		this.#running--;
	}
}
