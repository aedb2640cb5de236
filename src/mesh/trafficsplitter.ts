import {type Destination, type Route} from './route.js';

type Share = {readonly key: string; readonly credits: Map<string, number>};

/**
 * Chooses the service of each request of a split route by smooth weighted
 * round robin, so that any run of requests keeps to the weights.
 * Load pattern: long splits whose parts must hold their share under any load.
 */
export class TrafficSplitter {
	readonly #shares = new Map<string, Share>();
	readonly #random: () => number;

	/** @param random draws where a route's round begins, so that daemons don't all begin with the same part */
	constructor(random: () => number) {
		this.#random = random;
	}

	choose(route: Route): string | undefined {
		const {destinations} = route;
		if (destinations.length < 2) {
			return destinations[0]?.service;
		}

		const share = this.#shareOf(route);
		const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
		let best: Destination | undefined;
		let bestCredit = Number.NEGATIVE_INFINITY;
		for (const destination of destinations) {
			const credit = (share.credits.get(destination.service) ?? 0) + destination.weight;
			share.credits.set(destination.service, credit);
			if (destination.weight > 0 && credit > bestCredit) {
				best = destination;
				bestCredit = credit;
			}
		}

		if (best !== undefined) {
			share.credits.set(best.service, bestCredit - total);
		}

		return best?.service;
	}

	#shareOf(route: Route): Share {
		const key = route.destinations.map(({service, weight}) => `${service}=${weight}`).join(',');
		const held = this.#shares.get(route.name);
		if (held?.key === key) {
			return held;
		}

		const credits = new Map(route.destinations.map(({service, weight}) => [service, this.#random() * weight]));
		const share = {key, credits};
		this.#shares.set(route.name, share);
		return share;
	}
}
