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
	readonly #routeRanks: readonly number[];
	readonly #organisationRanks: readonly number[];
	/** How many ranks each organisation's rank is divided into; 0 if no organisation states one. */
	readonly #ranksEach: number;

	constructor({routes, organisations = []}: StatedRanks) {
		const stated = organisations.flatMap(({rank}) => rank ?? []);
		const hasUnstated = stated.length < organisations.length || routes.some(({isPublic}) => isPublic === true);
		this.#routeRanks = sorted(routes.map(({rank}) => rank));
		this.#organisationRanks = sorted([...stated, ...(hasUnstated ? this.#routeRanks : [])]);
		this.#ranksEach = stated.length === 0 ? 0 : Math.max(1, Math.min(this.#routeRanks.length, Math.floor(RANK_COUNT / this.#organisationRanks.length)));
		this.count = Math.min(RANK_COUNT, this.#ranksEach === 0 ? this.#routeRanks.length : this.#organisationRanks.length * this.#ranksEach);
	}

	/** @param organisationRank the rank that the request's organisation states */
	rankOf(organisationRank: number | undefined, routeRank: number): number {
		if (this.#ranksEach === 0) {
			return routeRank;
		}

		const organisation = placeOf(organisationRank ?? routeRank, this.#organisationRanks);
		const route = placeOf(routeRank, this.#routeRanks);
		const within = Math.floor(route * this.#ranksEach / Math.max(1, this.#routeRanks.length));
		return Math.min(RANK_COUNT - 1, (organisation * this.#ranksEach) + within);
	}
}

function sorted(ranks: readonly number[]): number[] {
	return [...new Set(ranks)].toSorted((a, b) => a - b);
}

/** The place of a rank, or of the one next above it. */
function placeOf(rank: number, ranks: readonly number[]): number {
	return Math.max(0, ranks.findLastIndex(other => other <= rank));
}
