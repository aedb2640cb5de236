import {describe, expect, it} from 'vitest';
import {FloorTable} from '../../src/core/index.js';

const UPSTREAMS = 150;
const report = (upstream: number, floor = 400) => ({
	service: 's', upstream: `u${upstream}`, floor, ageMs: 0,
});

const fillTable = (nowMs: number) => {
	const table = new FloorTable();
	for (let upstream = 0; upstream < UPSTREAMS; upstream++) {
		table.record(report(upstream), nowMs);
	}

	return table;
};

describe('a FloorTable with the floors of 150 upstreams', () => {
	it('passes on all of them within a few messages, and the own one in each', () => {
		const table = fillTable(0);
		const messages = Array.from({length: 12}, () => table.reports(10, 'u140').map(({upstream}) => upstream));
		expect(new Set(messages.flat()).size).toBe(UPSTREAMS);
		expect(messages.every(upstreams => upstreams.includes('u140'))).toBe(true);
	});

	it('keeps the floor while only a part of the upstreams is heard of in each interval', () => {
		const table = new FloorTable();
		const floors: number[] = [];
		for (let step = 0; step < 900; step++) {
			// Each upstream is heard of once in 1.5 s.
			table.record(report(step % UPSTREAMS), step * 10);
			if (step > UPSTREAMS) {
				floors.push(table.meanFloorOf('s', step * 10));
			}
		}

		expect(Math.min(...floors)).toBeGreaterThan(390);
	});

	it('lowers the floor once none of them is heard of, and when most report that they have room again', () => {
		expect(fillTable(0).meanFloorOf('s', 1500)).toBeLessThan(10);
		const table = fillTable(0);
		for (let upstream = 0; upstream < UPSTREAMS * 0.8; upstream++) {
			table.record(report(upstream, 0), 100);
		}

		expect([table.meanFloorOf('s', 110), table.meanFloorOf('s', 900)].map(floor => floor < 100)).toEqual([true, true]);
	});
});

describe('the answered share of a service', () => {
	const table = new FloorTable();
	table.record({...report(1, 0), answeredShare: 0.45}, 0);

	it('is the mean over its upstreams, of which those that answer all calls report nothing', () => {
		expect([table.answeredShareOf('s', 2, 10), table.answeredShareOf('other', 2, 10)]).toEqual([0.725, 1]);
		expect(table.meanFloorOf('s', 10)).toBe(0);
	});

	it('is passed on, recovers with the next report, and without one in a while', () => {
		expect(table.reports(10)).toEqual([{...report(1, 0), ageMs: 10, answeredShare: 0.45}]);
		expect(table.answeredShareOf('s', 1, 1500)).toBeGreaterThan(0.95);
		table.record(report(1, 0), 1600);
		expect(table.answeredShareOf('s', 1, 1610)).toBe(1);
	});
});
