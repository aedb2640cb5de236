import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ShareFleet} from '../../fakes/sharefleet.js';
import {UrgentFirst, roomOf} from '../../src/mesh/index.js';

const ROOM = {windowMs: 5000, over: 0.1, slack: 20};

describe('an organisation at several times its quota', () => {
	// A daemon that sees less than a request a second hardly knows what else is wanted.
	it.each([[100, 0.9], [5, 0.5]])('that may send %i/s has over %f of its most urgent requests admitted, and uses its quota', (ratePerS, share) => {
		const limit = {ratePerS, burst: ratePerS};
		const fleet = new ShareFleet(24, new Map([['a', limit]]), ROOM, {seed: 1});
		fleet.run(8000, []);
		const load = {
			budget: 'a', perS: () => ratePerS * 4, choose: () => fleet.random.pick(fleet.members), ranks: [0, 1, 1, 1, 1, 1, 2, 2, 2, 2],
		};
		fleet.run(4000, [load]);
		fleet.byRank.clear();
		fleet.run(10_000, [load]);
		const shareOf = (rank: number) => fleet.byRank.get(rank)!.admitted / (fleet.byRank.get(rank)!.admitted + fleet.byRank.get(rank)!.refused);
		expect(shareOf(0)).toBeGreaterThan(share);
		expect(shareOf(1)).toBeGreaterThan(shareOf(2) + 0.1);
		expect(shareOf(2)).toBeLessThan(0.1);
		expect(fleet.mostInWindow('a', ROOM.windowMs)).toBeLessThanOrEqual((ratePerS * 5) + ratePerS + roomOf(limit, ROOM));
		expect(fleet.countAdmitted('a', fleet.nowMs - 10_000)).toBeGreaterThanOrEqual(ratePerS * 10 * 0.9);
	});
});

describe('UrgentFirst', () => {
	it('admits the fraction of what is wanted, and no rank much less often than a lower one', () => {
		const mixes = fc.array(fc.integer({min: 0, max: 7}), {minLength: 1, maxLength: 12});
		fc.assert(fc.property(mixes, fc.double({min: 0.05, max: 0.95, noNaN: true}), fc.double({min: 0, max: 0.99, noNaN: true}), (mix, fraction, phase) => {
			const urgentFirst = new UrgentFirst(phase);
			const wanted = new Map<number, number>();
			const admitted = new Map<number, number>();
			let sum = 0;
			for (let index = 0; index < 4000; index++) {
				const rank = mix[(index * 7919) % mix.length];
				urgentFirst.advance(10);
				urgentFirst.record(rank);
				const isAdmitted = urgentFirst.earn(rank, fraction) === 0;
				if (isAdmitted) {
					urgentFirst.spend(rank);
				}

				if (index >= 1000) {
					wanted.set(rank, (wanted.get(rank) ?? 0) + 1);
					admitted.set(rank, (admitted.get(rank) ?? 0) + (isAdmitted ? 1 : 0));
					sum += isAdmitted ? 1 : 0;
				}
			}

			expect(Math.abs(sum - (fraction * 3000))).toBeLessThan(3000 * 0.03);
			const shares = [...wanted.keys()].toSorted((a, b) => a - b).map(rank => admitted.get(rank)! / wanted.get(rank)!);
			expect(shares.every((share, index) => index === 0 || share <= shares[index - 1] + 0.02)).toBe(true);
		}), {seed: 31, numRuns: 60});
	});
});
