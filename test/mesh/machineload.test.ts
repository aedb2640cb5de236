import {describe, expect, it} from 'vitest';
import {Random} from '../../fakes/index.js';
import {PlatformAdapter} from '../../platform/adapter.js';
import {MachineLoad, ServiceTimes} from '../../src/mesh/index.js';
import {DecodeError} from '../../src/relay/index.js';

/** The machine's load changes every 600 ms: two and a half times the usual for a sixth of the time. Returns the mean errors of what is expected with the claims, and of the mean time, in ms. */
function replayNoise(claimOf: (load: number, random: Random) => number): {expected: number; mean: number} {
	const random = new Random(5);
	const [machineLoad, serviceTimes] = [new MachineLoad(), new ServiceTimes()];
	const [expected, mean]: [number[], number[]] = [[], []];
	for (let nowMs = 0; nowMs < 60_000; nowMs += 120) {
		const load = Math.floor(nowMs / 600) % 6 === 0 ? 2.5 : 1;
		machineLoad.onClaim(claimOf(load, random), nowMs);
		const spentMs = 240 * load * random.between(0.8, 1.2);
		const meanMs = serviceTimes.knownMs('r');
		expected.push(Math.abs(spentMs - machineLoad.expectedMs('r', meanMs, nowMs)));
		mean.push(Math.abs(spentMs - meanMs));
		machineLoad.record({
			route: 'r', spentMs, machineLoad: machineLoad.claimAt(nowMs), meanMs,
		});
		serviceTimes.record('r', spentMs);
	}

	const meanOf = (errors: number[]) => errors.slice(50).reduce((sum, error) => sum + error, 0) / (errors.length - 50);
	return {expected: meanOf(expected), mean: meanOf(mean)};
}

describe('a target whose machine turns two and a half times slower for 600 ms at a time', () => {
	it('is expected to take as long as its runs do while its claims are true, in any unit', () => {
		for (const unit of [1, 7]) {
			const {expected, mean} = replayNoise(load => load * unit);
			expect(expected).toBeLessThan(mean / 2);
		}
	});

	it('is expected to take what its runs took while its claims are false', () => {
		for (const claimOf of [() => 1, (_load: number, random: Random) => random.between(0.1, 90), (load: number) => 3.5 - load]) {
			const {expected, mean} = replayNoise(claimOf);
			expect(expected).toBeLessThan(mean * 1.02);
		}
	});

	it('is expected to take its mean time when its last claim is old', () => {
		const machineLoad = new MachineLoad();
		for (let run = 0; run < 40; run++) {
			machineLoad.onClaim(run % 2 === 0 ? 1 : 3, run);
			machineLoad.record({
				route: 'r', spentMs: run % 2 === 0 ? 100 : 300, machineLoad: machineLoad.claimAt(run), meanMs: 200,
			});
		}

		expect(machineLoad.isBelieved).toBe(true);
		expect(machineLoad.expectedMs('r', 200, 40)).toBeCloseTo(300);
		expect(machineLoad.expectedMs('r', 200, 2000)).toBe(200);
	});
});

describe('the fourth figure of the load header', () => {
	const adapter = new PlatformAdapter('127.0.0.1:1');

	it('is a factor of the usual time, and may be missing', () => {
		expect(['3,0,8,250', '3,0,8, 40', '3,0,8'].map(header => adapter.decodeMachineLoad(header))).toEqual([2.5, 0.4, undefined]);
		expect(adapter.parseSlots('3,0,8,250')).toBe(8);
	});

	it('is rejected unless it is a plausible number', () => {
		for (const figure of ['', 'much', '-100', '0', '1000000000', '1e2', 'NaN']) {
			expect(() => adapter.decodeMachineLoad(`3,0,8,${figure}`)).toThrow(DecodeError);
		}
	});
});
