/** The weight of one call in the mean of its route. */
const WEIGHT = 0.1;
/** Expected time of a call of a route that never ran here, in ms. */
const UNKNOWN_MS = 20;

/** The mean time that a target takes for the calls of each route. */
export class ServiceTimes {
	readonly #meansMs = new Map<string, number>();

	record(route: string, spentMs: number): void {
		const held = this.#meansMs.get(route);
		this.#meansMs.set(route, held === undefined ? spentMs : held + ((spentMs - held) * WEIGHT));
	}

	/** In ms; a small guess for a route that never ran here. */
	expectedMs(route: string): number {
		return this.#meansMs.get(route) ?? UNKNOWN_MS;
	}

	/** In ms; 0 for a route that never ran here. */
	knownMs(route: string): number {
		return this.#meansMs.get(route) ?? 0;
	}
}
