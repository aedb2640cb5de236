import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FairOrder} from '../../src/mesh/index.js';

type Organisation = {readonly name: string; readonly askedPerS: number; readonly ratePerS: number};

const STEPS = 400;
const createOrder = (organisations: readonly Organisation[], heard = organisations) => {
	const order = new FairOrder();
	order.setLimits(new Map(organisations.map(({name, ratePerS}) => [name, {ratePerS, burst: 1}])));
	for (const {name, askedPerS} of heard) {
		order.onDemand(name, askedPerS, 0);
	}

	order.onTotal('accountant', organisations.reduce((sum, {askedPerS}) => sum + askedPerS, 0), 0);
	return order;
};

/** What an organisation keeps a second of what it asks for if this share of all is refused. */
const keptPerS = (order: FairOrder, {name, askedPerS}: Organisation, refusedShare: number) =>
	askedPerS * Array.from({length: STEPS}, (_, step) => order.placeOf(name, (step + 0.5) / STEPS, 0)).filter(place => place >= refusedShare).length / STEPS;

/** Up to which multiple of their limits organisations keep what they ask for if this much is served. */
function findMultiple(organisations: readonly Organisation[], servedPerS: number): number {
	let [low, high] = [0, Math.max(...organisations.map(({askedPerS, ratePerS}) => askedPerS / ratePerS))];
	for (let round = 0; round < 60; round++) {
		const middle = (low + high) / 2;
		const sum = organisations.reduce((total, {askedPerS, ratePerS}) => total + Math.min(askedPerS, middle * ratePerS), 0);
		[low, high] = sum < servedPerS ? [middle, high] : [low, middle];
	}

	return high;
}

const organisationsOf = fc.array(fc.record({askedPerS: fc.double({min: 0.1, max: 500, noNaN: true}), ratePerS: fc.double({min: 0.1, max: 500, noNaN: true})}), {minLength: 2, maxLength: 12})
	.map(list => list.map((organisation, index) => ({...organisation, name: `o${index}`})));

describe('FairOrder', () => {
	it('refuses the share that it is cut at, and lets each organisation keep what it asks for up to the same multiple of its limit', () => {
		fc.assert(fc.property(organisationsOf, fc.double({min: 0, max: 0.95, noNaN: true}), (organisations, refusedShare) => {
			const order = createOrder(organisations);
			const asked = organisations.reduce((sum, {askedPerS}) => sum + askedPerS, 0);
			const multiple = findMultiple(organisations, asked * (1 - refusedShare));
			for (const organisation of organisations) {
				const {askedPerS, ratePerS} = organisation;
				expect(Math.abs(keptPerS(order, organisation, refusedShare) - Math.min(askedPerS, multiple * ratePerS)) / askedPerS).toBeLessThan(2 / STEPS);
			}
		}), {numRuns: 50, endOnFailure: true});
	});

	it('takes the excess of one that asks for four times its share, also on a daemon that hears of no other', () => {
		const organisations = Array.from({length: 9}, (_, index) => ({name: `o${index}`, askedPerS: index === 0 ? 40 : 10, ratePerS: 12}));
		for (const heard of [organisations, organisations.slice(0, 1)]) {
			const order = createOrder(organisations, heard);
			// All ask for 120, and 90 can be served.
			expect(keptPerS(order, organisations[0], 0.25)).toBeCloseTo(10, 0);
			expect(keptPerS(order, organisations[5], 0.25)).toBeGreaterThan(9.7);
		}
	});

	it('leaves the place to chance if nothing is known, or no longer', () => {
		const organisation = {name: 'o', askedPerS: 10, ratePerS: 5};
		expect(new FairOrder().placeOf('o', 0.3, 0)).toBe(0.3);
		const order = createOrder([organisation, {...organisation, name: 'p', askedPerS: 1}]);
		expect(order.placeOf('o', 0.3, 0)).toBeLessThan(0.3);
		expect(order.placeOf('o', 0.3, 60_000)).toBe(0.3);
		expect(order.placeOf('unlimited', 0.3, 0)).toBe(0.3);
	});
});
