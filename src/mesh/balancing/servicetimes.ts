/** Weight of one call in the moving mean of its route. */
const SAMPLE_WEIGHT = 0.1;
/** Expected time of a call of a route without any recorded call, in ms. */
const DEFAULT_SERVICE_MS = 20;

/** Moving mean of the time that the local target takes for the calls of each route, and of the deviation from it. */
export class ServiceTimes {
	readonly #meansMs = new Map<string, number>();
	readonly #deviationsMs = new Map<string, number>();

	record(route: string, spentMs: number): void {
		const meanMs = this.#meansMs.get(route);
		this.#meansMs.set(route, meanMs === undefined ? spentMs : meanMs + ((spentMs - meanMs) * SAMPLE_WEIGHT));
		if (meanMs !== undefined) {
			const deviationMs = this.deviationMs(route);
			this.#deviationsMs.set(route, deviationMs + ((Math.abs(spentMs - meanMs) - deviationMs) * SAMPLE_WEIGHT));
		}
	}

	/** Mean deviation from the mean time, in ms; 0 until two calls of the route are recorded. */
	deviationMs(route: string): number {
		return this.#deviationsMs.get(route) ?? 0;
	}

	/** Mean time in ms; a low default for a route without any recorded call. */
	expectedMs(route: string): number {
		return this.#meansMs.get(route) ?? DEFAULT_SERVICE_MS;
	}

	/** Mean time in ms; 0 for a route without any recorded call. */
	knownMs(route: string): number {
		return this.#meansMs.get(route) ?? 0;
	}
}
