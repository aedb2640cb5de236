/** How often open and running calls are checked against their deadlines, in ms: a fifth of the slack that a time-out has, as each check wakes the process up. */
const SWEEP_MS = 50;

/** Checks again and again as long as there is something to check. */
export class PeriodicCheck {
	readonly #check: () => boolean;
	#isArmed = false;

	/** @param check returns whether anything is left to check */
	constructor(check: () => boolean) {
		this.#check = check;
	}

	/** There is something to check. */
	schedule(): void {
		if (this.#isArmed) {
			return;
		}

		this.#isArmed = true;
		setTimeout(() => {
			this.#isArmed = false;
			if (this.#check()) {
				this.schedule();
			}
		}, SWEEP_MS);
	}
}
