import {RANK_COUNT} from '../../core/index.js';

/** What states the ranks of a site; 0 is the highest. */
export type StatedRanks = {
	readonly routes: ReadonlyArray<{readonly rank: number; readonly isPublic?: boolean}>;
	/** Absent if the site has none. */
	readonly organisations?: ReadonlyArray<{readonly rank?: number}> | undefined;
};

/**
 * The ranks of requests: that of their organisation goes first, and among equals that of their
 * route. A request without an organisation that states one counts as of an organisation of its route's rank.
 * Handles the load pattern in which all organisations have the same rank, and
 * urgent requests would wait among those that aren't.
 */
export class RankOrder {
	/** How many ranks are in use, from the highest on. */
	readonly count: number;
	readonly #hasStated: boolean;
	/** Each combination's rank, by the organisation's rank and then by the route's. */
	readonly #ranks = new Map<number, Map<number, number>>();

	constructor({routes, organisations = []}: StatedRanks) {
		const stated = distinct(organisations.flatMap(({rank}) => rank ?? []));
		this.#hasStated = stated.length > 0;
		const routeRanks = distinct(routes.map(({rank}) => rank));
		const hasUnstated = organisations.some(({rank}) => rank === undefined);
		const unstated = routes.filter(({isPublic}) => hasUnstated || isPublic === true).map(({rank}) => rank);
		const organisationRanks = this.#hasStated ? distinct([...stated, ...unstated]) : [];
		for (const organisation of organisationRanks) {
			const those = stated.includes(organisation) ? routeRanks : [organisation];
			this.#ranks.set(organisation, new Map(those.map(rank => [rank, 0])));
		}

		const combinations = [...this.#ranks.values()].reduce((sum, {size}) => sum + size, 0);
		const ranksEach = combinations <= RANK_COUNT ? RANK_COUNT : Math.max(1, Math.floor(RANK_COUNT / organisationRanks.length));
		let next = 0;
		for (const ranks of this.#ranks.values()) {
			const each = Math.min(ranksEach, ranks.size);
			for (const [place, route] of [...ranks.keys()].entries()) {
				ranks.set(route, Math.min(RANK_COUNT - 1, next + Math.floor(place * each / ranks.size)));
			}

			next += each;
		}

		this.count = Math.min(RANK_COUNT, this.#hasStated ? next : routeRanks.length);
	}

	/** @param organisationRank the rank that the request's organisation states */
	rankOf(organisationRank: number | undefined, routeRank: number): number {
		return this.#hasStated ? this.#ranks.get(organisationRank ?? routeRank)?.get(routeRank) ?? RANK_COUNT - 1 : routeRank;
	}
}

function distinct(ranks: readonly number[]): number[] {
	return [...new Set(ranks)].toSorted((a, b) => a - b);
}
