/** Half-life of what is known of a group's load, in ms; then its load is taken for one that costs nothing, so that calls find out. */
const GROUP_HALF_LIFE_MS = 4000;
/** Weight of one report in the mean load of its group. */
const GROUP_LOAD_WEIGHT = 0.1;

/**
 * What the targets of one service in one failure domain have in use on average, as a share of their limits.
 * Handles the load pattern in which a service has so many targets that the news of any one of them is old.
 */
export class GroupLoad {
	readonly #usualLoad: number;
	#load: number;
	#heardMs = Number.NEGATIVE_INFINITY;

	/** @param usualLoad the load that is expected while nothing is known */
	constructor(usualLoad: number) {
		this.#usualLoad = usualLoad;
		this.#load = usualLoad;
	}

	/** Adds the load of one target. */
	record(load: number, nowMs: number): void {
		const before = this.expected(nowMs);
		this.#load = before + ((load - before) * GROUP_LOAD_WEIGHT);
		this.#heardMs = nowMs;
	}

	expected(nowMs: number): number {
		return this.#usualLoad + ((this.#load - this.#usualLoad) * fade(nowMs - this.#heardMs, GROUP_HALF_LIFE_MS));
	}
}

/** The weight of news of this age: 1 at first, half after the half-life, then ever less. Cheaper than an exponential, as it is worked out for each target compared. */
export function fade(ageMs: number, halfLifeMs: number): number {
	const halfLives = Math.max(0, ageMs) / halfLifeMs;
	return 1 / (1 + (halfLives * halfLives));
}
