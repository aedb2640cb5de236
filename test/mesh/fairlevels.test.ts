import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Random} from '../../fakes/index.js';
import {LEVELS_PER_RANK} from '../../src/core/index.js';
import {LoadShedder} from '../../src/mesh/index.js';

const ROUTED = {route: 'x', service: 'back'};
/** Rank 1 is the second highest of eight. */
const RANK = 1;
const LOWEST = 6 * LEVELS_PER_RANK;

type Load = Readonly<Record<string, number>>;
type Options = {readonly share: number; readonly daemonCount?: number; readonly forS?: number; readonly weights?: Load; readonly hotAt?: number};

/** Sends requests at these rates through some daemons that all know the floor. @returns the part admitted of each organisation, of the second half */
function admittedParts(load: Load, {share, daemonCount = 1, forS = 20, weights = {}, hotAt}: Options): Record<string, number> {
	const random = new Random(3);
	const daemons = Array.from({length: daemonCount}, (_, index) => new LoadShedder(`h${index}`, false, organisation => weights[organisation] ?? 1));
	const floor = LOWEST + ((1 - share) * LEVELS_PER_RANK);
	const sent: Record<string, number> = {};
	const admitted: Record<string, number> = {};
	for (let nowMs = 0; nowMs < forS * 1000; nowMs += 10) {
		for (const daemon of daemons) {
			daemon.recordReached(ROUTED, ['back']);
			daemon.recordFloorReports([{
				service: 'back', upstream: 'u', floor, ageMs: 0,
			}], nowMs);
		}

		for (const [organisation, perS] of Object.entries(load)) {
			for (let left = (perS / 100) - random.exponential(1); left > 0; left -= random.exponential(1)) {
				const daemon = organisation === 'hot' && hotAt !== undefined ? daemons[hotAt] : random.pick(daemons);
				const isAdmitted = daemon.isAdmitted(daemon.priorityOf(ROUTED, {rank: RANK, attemptId: `${organisation}${random.next()}`, organisation: organisation === 'nobody' ? undefined : organisation}, nowMs));
				if (nowMs > forS * 500) {
					sent[organisation] = (sent[organisation] ?? 0) + 1;
					admitted[organisation] = (admitted[organisation] ?? 0) + (isAdmitted ? 1 : 0);
				}
			}
		}
	}

	const sum = (counts: Record<string, number>) => Object.values(counts).reduce((total, count) => total + count, 0);
	return {...Object.fromEntries(Object.entries(sent).map(([organisation, count]) => [organisation, admitted[organisation] / count])), all: sum(admitted) / sum(sent)};
}

describe('a floor that admits half of what organisations ask for', () => {
	const small = Object.fromEntries(Array.from({length: 10}, (_, index) => [`small-${index}`, 8]));

	it.each<[string, Options]>([
		['at one daemon', {share: 0.5}],
		['spread over five daemons', {share: 0.5, daemonCount: 5}],
		['spread over five daemons, the hot one at one of them', {share: 0.6, daemonCount: 5, hotAt: 2}],
	])('refuses the hot one, and not those that ask for little, %s', (_name, options) => {
		const parts = admittedParts({...small, hot: 160}, options);
		const worst = Math.min(...Object.keys(small).map(name => parts[name]));
		expect(worst).toBeGreaterThan(options.hotAt === undefined ? 0.85 : 0.5);
		expect(parts.all).toBeCloseTo(options.share, 1);
		expect(parts.hot).toBeLessThan(options.share);
	});

	it('admits by weight, and as many in all as without organisations', () => {
		const parts = admittedParts({a: 100, b: 100}, {share: 0.5, weights: {a: 3, b: 1}});
		expect(parts.a).toBeCloseTo(0.75, 1);
		expect(parts.b).toBeCloseTo(0.25, 1);
	});

	it('leaves a rank alone whose organisations ask for the same, and requests of no organisation', () => {
		const parts = admittedParts({a: 60, b: 60, nobody: 60}, {share: 0.4});
		for (const part of Object.values(parts)) {
			expect(part).toBeCloseTo(0.4, 1);
		}
	});

	it('keeps what it admits in all, whatever they ask for', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 300}), {minLength: 1, maxLength: 8}), fc.double({min: 0.1, max: 0.95, noNaN: true}), (ratesPerS, share) => {
			const load = Object.fromEntries([...ratesPerS, 100].map((perS, index) => [`o${index}`, perS]));
			const {all} = admittedParts(load, {share, forS: 10});
			expect(Math.abs(all - share)).toBeLessThan(0.08);
		}), {numRuns: 20, seed: 29});
	});
});
