/** The memory that a daemon may use for parts of answers that it holds back, shared by all of them. */
export class HoldBudget {
	#leftBytes: number;

	/** @param maxBytes the total for all answers */
	constructor(maxBytes: number) {
		this.#leftBytes = maxBytes;
	}

	/** @returns false, without effect, if the budget is spent */
	tryTake(bytes: number): boolean {
		if (bytes > this.#leftBytes) {
			return false;
		}

		this.#leftBytes -= bytes;
		return true;
	}

	giveBack(bytes: number): void {
		this.#leftBytes += bytes;
	}
}
