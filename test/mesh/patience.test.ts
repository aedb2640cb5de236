import {describe, expect, it} from 'vitest';
import {
	type LoadFault, type LoadOverrides, LoadSimulation, type SimulatedRoute, type SimulatedService,
} from '../../fakes/loadsimulation.js';

// A chain of four services, of which the deepest answers four calls for each request that comes from above.
const services: SimulatedService[] = [
	{name: 'web', slots: 90, speeds: [0.6, 1, 1.6, 0.6, 1]},
	{name: 'submit', slots: 90, speeds: [0.7, 0.7, 1.6, 0.7]},
	{name: 'assess', slots: 120, speeds: [0.7, 1.6]},
	{name: 'rules', slots: 148, speeds: [1, 1.2]},
];
type Kind = {service: string; rank: number; perS?: number; workMs: number; objectiveMs: number; timeoutMs: number; deadlineMs?: number; isSafe?: boolean; calls?: string[]};
const createRoute = (name: string, {service, rank, perS = 0, workMs, objectiveMs, timeoutMs, deadlineMs = timeoutMs, isSafe = true, calls = []}: Kind): SimulatedRoute => ({
	route: {
		name, host: 'site', prefix: '/', repeatability: isSafe ? 'safe' : 'unsafe', attempts: 3, timeoutMs, objectiveMs, rank, destinations: [{service, weight: 1}],
	},
	requestsPerS: perS,
	workMs,
	deadlineMs,
	nestedRoutes: calls,
});
const routes = [
	createRoute('lookup', {
		service: 'web', rank: 2, perS: 130, workMs: 240, objectiveMs: 2000, timeoutMs: 1500, deadlineMs: 5000, calls: ['bond'],
	}),
	createRoute('allocation', {
		service: 'submit', rank: 0, perS: 45, workMs: 310, objectiveMs: 2000, timeoutMs: 2000, deadlineMs: 5000, isSafe: false, calls: ['rate'],
	}),
	createRoute('duty', {
		service: 'assess', rank: 0, perS: 32, workMs: 160, objectiveMs: 600, timeoutMs: 1200, deadlineMs: 2500, isSafe: false,
	}),
	createRoute('price', {
		service: 'rules', rank: 1, perS: 36, workMs: 94, objectiveMs: 300, timeoutMs: 1200,
	}),
	createRoute('bond', {
		service: 'submit', rank: 1, workMs: 15, objectiveMs: 1000, timeoutMs: 2500, calls: ['rate'],
	}),
	createRoute('rate', {
		service: 'assess', rank: 1, workMs: 15, objectiveMs: 800, timeoutMs: 2000, calls: ['currency', 'currency', 'currency', 'currency'],
	}),
	createRoute('currency', {
		service: 'rules', rank: 1, workMs: 70, objectiveMs: 300, timeoutMs: 700,
	}),
];

const turnAway = (untilMs: number): LoadFault => ({
	kind: 'shed', service: 'rules', share: 0.55, fromMs: 3000, untilMs,
});
const runLoad = (waitsForFaults: LoadOverrides['waitsForFaults'], faults: LoadFault[], durationMs: number, seed = 7) => new LoadSimulation({
	services, routes, faults, durationMs, seed, overrides: {waitsForFaults},
}).run();

/** The share of each kind of request that ended without being served. */
const lostShares = (waitsForFaults: LoadOverrides['waitsForFaults'], faults: LoadFault[], durationMs: number): Record<string, number> => {
	const runs = [7, 8].map(seed => runLoad(waitsForFaults, faults, durationMs, seed));
	return Object.fromEntries([...runs[0].tallies.keys()].map(name => {
		const tallies = runs.map(run => run.tallies.get(name)!);
		const sum = (values: number[]) => values.reduce((total, value) => total + value, 0);
		return [name, sum(tallies.map(({refused, failed}) => refused + failed)) / sum(tallies.map(({requests}) => requests))];
	}));
};

describe('a deepest service that turns away 0.55 of its calls for 8.5 s, and callers that wait 5 s', () => {
	const faults = [turnAway(11_500)];
	const [without, reported, foretold] = (['no', 'by-reports', 'by-oracle'] as const).map(policy => lostShares(policy, faults, 17_000));

	it('loses fewer of the patient requests when they wait for its end', () => {
		expect(reported.lookup).toBeLessThan(without.lookup * 0.9);
		expect(reported.allocation).toBeLessThan(without.allocation * 0.9);
	});

	it('loses about as few as with a policy that knows the end', () => {
		expect(reported.lookup).toBeLessThan(foretold.lookup + 0.03);
		expect(reported.allocation).toBeLessThan(foretold.allocation + 0.03);
	});

	it('costs no other kind of request more than 0.03', () => {
		expect(reported.duty).toBeLessThan(without.duty + 0.03);
		expect(reported.price).toBeLessThan(without.price + 0.03);
	});
});

describe('the same for 1.5 s', () => {
	it('loses fewer of the patient requests, too', () => {
		const faults = [turnAway(4500)];
		const [without, reported] = (['no', 'by-reports'] as const).map(policy => lostShares(policy, faults, 9000));
		expect(reported.lookup).toBeLessThan(without.lookup * 0.6);
		expect(reported.allocation).toBeLessThan(without.allocation * 0.8);
	});
});

describe('a load without a fault', () => {
	it('is decided request by request as without patience', () => {
		const [without, reported] = (['no', 'by-reports'] as const).map(policy => runLoad(policy, [], 6000));
		expect([...reported.tallies]).toEqual([...without.tallies]);
		expect([...reported.arrivals]).toEqual([...without.arrivals]);
	});
});
