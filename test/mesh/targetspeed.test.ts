import {describe, expect, it} from 'vitest';
import {BusyTime, TargetSpeed} from '../../src/mesh/index.js';

const recordAll = (speed: TargetSpeed, worksMs: readonly number[], startMs = 0) => worksMs.map((workMs, index) => speed.record('r', workMs, startMs + (index * 10)));
const runs = (count: number, workMs: number) => Array.from({length: count}, (_, index) => workMs * (index % 2 === 0 ? 0.8 : 1.2));

describe('TargetSpeed', () => {
	it('finds a target slow within six runs that take five times as long, and reports it once', () => {
		const speed = new TargetSpeed();
		recordAll(speed, runs(40, 100));
		expect(recordAll(speed, runs(6, 500)).filter(Boolean)).toHaveLength(1);
		expect(speed.slowness).toBeGreaterThan(2);
	});

	it('finds it recovered once its runs take the usual time again', () => {
		const speed = new TargetSpeed();
		recordAll(speed, [...runs(40, 100), ...runs(20, 500)]);
		expect(recordAll(speed, runs(20, 100), 100).filter(Boolean)).toHaveLength(1);
		expect([speed.slowness, speed.slowSinceMs]).toEqual([1, undefined]);
	});

	it('finds no target slow that always was, nor for one long run or a longer kind of run', () => {
		const speed = new TargetSpeed();
		const reports = [...recordAll(speed, [...runs(30, 700), 7000, ...runs(10, 700)])];
		for (let index = 0; index < 30; index++) {
			reports.push(speed.record('longer', 3000, 1000 + index));
		}

		expect(reports.filter(Boolean)).toEqual([]);
	});
});

describe('BusyTime', () => {
	it('counts overlapping activities once', () => {
		const busy = new BusyTime();
		for (const [change, nowMs] of [[1, 0], [1, 10], [-1, 20], [-1, 30], [1, 50], [-1, 60]] as const) {
			busy.add(change, nowMs);
		}

		expect(busy.totalMs(100)).toBe(40);
	});
});
