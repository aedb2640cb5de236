import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RANK_COUNT} from '../../src/core/index.js';
import {RankOrder, RetryBudget, LoadShedder} from '../../src/mesh/index.js';

const ranks = fc.integer({min: 0, max: 9});
const sites = fc.record({
	routes: fc.array(fc.record({rank: ranks, isPublic: fc.boolean()}), {minLength: 1, maxLength: 12}),
	organisations: fc.array(fc.record({rank: ranks}, {requiredKeys: []}), {maxLength: 12}),
});

type Stated = {readonly rank?: number};

/** Finds two requests whose ranks are against the stated order, or equal though there are ranks enough for the organisations. */
function findDisorder(routes: ReadonlyArray<{readonly rank: number; readonly isPublic: boolean}>, organisations: readonly Stated[]) {
	const order = new RankOrder({routes, organisations});
	const isStated = organisations.some(({rank}) => rank !== undefined);
	const hasEnough = new Set([...organisations, ...routes].map(({rank}) => rank)).size <= RANK_COUNT;
	const requests: Array<{first: number; second: number; rank: number}> = [];
	for (const organisation of organisations) {
		for (const route of routes) {
			requests.push({first: (isStated ? organisation.rank : undefined) ?? route.rank, second: route.rank, rank: order.rankOf(organisation.rank, route.rank)});
		}
	}

	return requests.find(a => (isStated && (a.rank < 0 || a.rank >= RANK_COUNT)) || requests.some(b => {
		const isBefore = a.first < b.first || (a.first === b.first && a.second < b.second);
		return (isBefore && a.rank > b.rank) || (isStated && hasEnough && a.first < b.first && a.rank === b.rank);
	}));
}

describe('RankOrder', () => {
	it('orders by the organisation and then by the route, wherever there are ranks enough, and never the other way round', () => {
		fc.assert(fc.property(sites, ({routes, organisations}) => {
			expect(findDisorder(routes, organisations)).toBeUndefined();
		}), {seed: 31});
	});

	it('tells all apart where they are few enough, though some routes are public', () => {
		const routes = [{rank: 0, isPublic: true}, {rank: 2}, {rank: 1, isPublic: true}, {rank: 1}, {rank: 0}];
		const order = new RankOrder({routes, organisations: [{rank: 1}, {rank: 0}]});
		const ranks = [0, 1].flatMap(organisation => [0, 1, 2].map(route => order.rankOf(organisation, route)));
		expect([ranks, order.rankOf(undefined, 0), order.rankOf(undefined, 1), order.count]).toEqual([[0, 1, 2, 3, 4, 5], 0, 4, 6]);
	});

	it('keeps the ranks of routes where no organisation states one', () => {
		const order = new RankOrder({routes: [{rank: 1}, {rank: 4}], organisations: [{}]});
		expect([order.rankOf(undefined, 1), order.rankOf(undefined, 4)]).toEqual([1, 4]);
	});
});

describe('a retry budget', () => {
	it('is kept for the more urgent routes where all organisations have the same low rank', () => {
		const order = new RankOrder({routes: [{rank: 0}, {rank: 1}, {rank: 2}], organisations: [{rank: 0}, {rank: 1}]});
		const shedder = new LoadShedder('h');
		const budget = new RetryBudget({ratio: 0.2, slack: 0, windowMs: 10_000});
		budget.setRankCount(order.count);
		const granted = [0, 0, 0];
		for (let nowMs = 0; nowMs < 20_000; nowMs++) {
			const routeRank = 1 + (nowMs % 2);
			budget.recordFirstSend('deep', nowMs);
			const {level} = shedder.priorityOf({route: 'r', service: 'deep'}, order.rankOf(1, routeRank), `a${nowMs}`, nowMs);
			granted[routeRank] += budget.spend('deep', level, nowMs) ? 1 : 0;
		}

		expect(granted[1]).toBeGreaterThan(granted[2] * 3);
	});
});
