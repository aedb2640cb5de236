const RETRY_BURST = 10;

/**
 * The part of a running request's tokens that one of its child calls gets. What
 * is given is deducted by the giver, so that all shares of one tree never add up
 * to more than the pot.
 */
export function childTokensOf(tokens: number): number {
	return Math.ceil(tokens / 2);
}

/** The part of a call's tokens that goes down with it; one is kept for retrying it. */
export function forwardedTokensOf(tokens: number): number {
	return Math.max(0, tokens - 1);
}

/** Keeps the retries to each service under a share of the calls to it. */
export class RetryBudget {
	readonly #credit = new Map<string, number>();

	onCall(service: string, ratio: number): void {
		const credit = this.#credit.get(service) ?? RETRY_BURST;
		this.#credit.set(service, Math.min(RETRY_BURST, credit + ratio));
	}

	/** Takes the credit for one retry; false when there is none. */
	tryTake(service: string): boolean {
		const credit = this.#credit.get(service) ?? RETRY_BURST;
		if (credit < 1) {
			return false;
		}

		this.#credit.set(service, credit - 1);
		return true;
	}
}
