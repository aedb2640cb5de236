/** Retries that a service may have in succession before the ratio limits them. */
const MAX_RETRY_CREDIT = 10;

/**
 * Returns how many of a running call's retry tokens one of its child requests
 * gets. The caller deducts them from its own, so that all requests of one call
 * tree together never hold more tokens than the root request began with.
 */
export function childTokensOf(tokens: number): number {
	return Math.ceil(tokens / 2);
}

/** Returns how many of a request's retry tokens its call carries to the upstream; one is kept to retry the call itself. */
export function forwardedTokensOf(tokens: number): number {
	return Math.max(0, tokens - 1);
}

/** Limits the retries to each service to a share of the calls to it. */
export class RetryBudget {
	readonly #credit = new Map<string, number>();

	onCall(service: string, ratio: number): void {
		const credit = this.#credit.get(service) ?? MAX_RETRY_CREDIT;
		this.#credit.set(service, Math.min(MAX_RETRY_CREDIT, credit + ratio));
	}

	/** Takes the credit for one retry; returns false if there is less than that. */
	tryTake(service: string): boolean {
		const credit = this.#credit.get(service) ?? MAX_RETRY_CREDIT;
		if (credit < 1) {
			return false;
		}

		this.#credit.set(service, credit - 1);
		return true;
	}
}
