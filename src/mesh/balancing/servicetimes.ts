/** Weight of one call in the moving mean of its route. */
const SAMPLE_WEIGHT = 0.1;
/** Expected time of a call of a route without any recorded call, in ms. */
const DEFAULT_SERVICE_MS = 20;

/** Moving mean of the time that the local target takes for the calls of each route. */
export class ServiceTimes {
	readonly #meansMs = new Map<string, number>();

	record(route: string, spentMs: number): void {
		const meanMs = this.#meansMs.get(route);
		this.#meansMs.set(route, meanMs === undefined ? spentMs : meanMs + ((spentMs - meanMs) * SAMPLE_WEIGHT));
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
