import {type Destination, type Route} from './route.js';

type SplitState = {readonly key: string; readonly credits: Map<string, number>};

/**
 * Chooses the service of each request of a split route by smooth weighted
 * round robin, so that any sequence of requests follows the weights.
 * Handles the load pattern in which a traffic split lasts long and each service
 * must get its share under any load.
 */
export class TrafficSplitter {
	readonly #states = new Map<string, SplitState>();
	readonly #random: () => number;

	/** @param random draws the initial credits of a route, so that the daemons don't all start with the same service */
	constructor(random: () => number) {
		this.#random = random;
	}

	choose(route: Route): string | undefined {
		const {destinations} = route;
		if (destinations.length < 2) {
			return destinations[0]?.service;
		}

		const state = this.#stateOf(route);
		const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
		let best: Destination | undefined;
		let bestCredit = Number.NEGATIVE_INFINITY;
		for (const destination of destinations) {
			const credit = (state.credits.get(destination.service) ?? 0) + destination.weight;
			state.credits.set(destination.service, credit);
			if (destination.weight > 0 && credit > bestCredit) {
				best = destination;
				bestCredit = credit;
			}
		}

		if (best !== undefined) {
			state.credits.set(best.service, bestCredit - total);
		}

		return best?.service;
	}

	#stateOf(route: Route): SplitState {
		const key = route.destinations.map(({service, weight}) => `${service}=${weight}`).join(',');
		const held = this.#states.get(route.name);
		if (held?.key === key) {
			return held;
		}

		const credits = new Map(route.destinations.map(({service, weight}) => [service, this.#random() * weight]));
		const state = {key, credits};
		this.#states.set(route.name, state);
		return state;
	}
}
