import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type CasePlan, createPlanArbitrary} from '../proof/caseplan.js';
import {PROOF_POINTS} from '../proof/points/index.js';

const SEED = 20_261_203;
const CASES = 20;
const SABOTAGE_CASES = 60;

// Plans that violated a point in the past, each with the cause.
const REGRESSIONS: ReadonlyArray<readonly [string, string, CasePlan]> = [
	['graceful-stop', 'a link that was only sent to was never probed and was taken for dead', {
		seed: 395_542_716, faults: [{
			kind: 'stop', atMs: 0, forMs: 100, host: 4, other: 0,
		}], drop: 0, duplicate: 0, reorder: 0, reset: 0, requests: 65, variant: 4,
	}],
];

describe('a plan that violated a point in the past', () => {
	it.each(REGRESSIONS)('%s: %s', (name, _cause, plan) => {
		expect(PROOF_POINTS.find(point => point.name === name)!.run(plan).violations).toEqual([]);
	});
});

describe(`each point, seed ${SEED}`, () => {
	it.each(PROOF_POINTS.map(point => [point.name, point] as const))('%s holds under generated faults', (_, point) => {
		fc.assert(fc.property(createPlanArbitrary(point.limits), plan => {
			expect(point.run(plan).violations).toEqual([]);
		}), {seed: SEED, numRuns: CASES});
	});

	it.each(PROOF_POINTS.map(point => [point.name, point] as const))('the check of %s detects an injected defect', (_, point) => {
		const outcome = fc.check(fc.property(createPlanArbitrary(point.limits), plan => point.run(plan, point.sabotage.apply).violations.length === 0), {
			seed: SEED, numRuns: SABOTAGE_CASES, endOnFailure: true,
		});
		expect(outcome.failed).toBe(true);
	});

	it('gives the same result twice for the same plan', () => {
		const point = PROOF_POINTS.find(({name}) => name === 'at-most-once')!;
		const [plan] = fc.sample(createPlanArbitrary(point.limits), {seed: SEED, numRuns: 1});
		expect(JSON.stringify(point.run(plan))).toBe(JSON.stringify(point.run(plan)));
	});
});
