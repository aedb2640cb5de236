import {afterSockets} from '../clock/index.js';

/** How often open and running calls are checked against their deadlines, in ms: a fifth of the tolerance of a timeout, as each check wakes the process. */
const CHECK_INTERVAL_MS = 50;

/** Repeats a check at a fixed interval for as long as there is something to check. */
export class PeriodicCheck {
	readonly #check: () => boolean;
	#isScheduled = false;

	/** @param check returns whether anything is left to check */
	constructor(check: () => boolean) {
		this.#check = check;
	}

	/** Schedules the next check, unless one is already scheduled. */
	schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			afterSockets(() => {
				this.#isScheduled = false;
				if (this.#check()) {
					this.schedule();
				}
			});
		}, CHECK_INTERVAL_MS);
	}
}
