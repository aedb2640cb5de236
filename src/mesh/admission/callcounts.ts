/** Weight of the latest count in the moving average. */
const SMOOTHING = 0.2;
/** Largest count that is reported: beyond it, the chance of all calls is as good as zero anyway. */
const MAX_COUNT = 16;

/**
 * Learns how many calls of each service one request needs, from the runs that
 * ended well: those that failed may have left calls out.
 * Handles the load pattern in which a request needs several calls of a service
 * that turns calls away, so that its chance is the share of one call to that power.
 */
export class CallCounts {
	readonly #meansByKey = new Map<string, Map<string, number>>();
	readonly #calledByRun = new Map<string, string[]>();

	/** Counts the services that a nested call of a run reaches. */
	onNestedCall(runId: string, services: readonly string[]): void {
		const called = this.#calledByRun.get(runId);
		if (called === undefined) {
			this.#calledByRun.set(runId, [...services]);
		} else if (called.length < MAX_COUNT * MAX_COUNT) {
			called.push(...services);
		}
	}

	/** Ends the count of a run. @param key the kind of run; undefined if it didn't end well */
	onRunEnded(runId: string, key: string | undefined): void {
		const called = this.#calledByRun.get(runId);
		if (called === undefined) {
			return;
		}

		this.#calledByRun.delete(runId);
		if (key !== undefined) {
			this.record(key, called);
		}
	}

	/** Records the services that one request needed, each as often as it was called. */
	record(key: string, services: readonly string[]): void {
		const counts = new Map<string, number>();
		for (const service of services) {
			counts.set(service, (counts.get(service) ?? 0) + 1);
		}

		const means = this.#meansByKey.get(key) ?? new Map<string, number>();
		this.#meansByKey.set(key, means);
		for (const [service, count] of counts) {
			const mean = means.get(service) ?? count;
			means.set(service, mean + ((count - mean) * SMOOTHING));
		}
	}

	/** Returns how often a request of this kind calls the service, at least 1. */
	countOf(key: string, service: string): number {
		return Math.min(MAX_COUNT, Math.max(1, Math.round(this.#meansByKey.get(key)?.get(service) ?? 1)));
	}
}
