import {type SimulatedRoute, type SimulatedService} from '../../fakes/loadsimulation.js';

// A fleet of 196 upstreams in five failure domains, as the users' largest site has, with a hundredth of the traffic for each daemon.

const repeat = (speeds: readonly number[], count: number) => Array.from({length: count}, (_, index) => speeds[index % speeds.length]);

export const largeServices: SimulatedService[] = [
	{name: 'web', slots: 30, speeds: repeat([0.5, 1, 1, 1.5], 75)},
	{name: 'submit', slots: 30, speeds: repeat([0.7, 0.7, 1.6], 47)},
	{name: 'assess', slots: 46, speeds: repeat([0.7, 0.7, 1.6], 25)},
	{name: 'rules', slots: 9, speeds: repeat([0.7, 0.7, 1.6], 49)},
];

type Kind = {service: string; rank: number; perS: number; workMs: number; objectiveMs: number; deadlineMs: number; isSafe?: boolean; calls?: string[]};
const createRoute = (name: string, {service, rank, perS, workMs, objectiveMs, deadlineMs, isSafe = true, calls = []}: Kind): SimulatedRoute => ({
	route: {
		name, host: 'site', prefix: '/', repeatability: isSafe ? 'safe' : 'unsafe', attempts: 3, timeoutMs: deadlineMs, objectiveMs, rank, destinations: [{service, weight: 1}],
	},
	requestsPerS: perS,
	workMs,
	deadlineMs,
	nestedRoutes: calls,
});

export const largeRoutes: SimulatedRoute[] = [
	createRoute('status', {
		service: 'web', rank: 2, perS: 446, workMs: 190, objectiveMs: 1500, deadlineMs: 5000, calls: ['case'],
	}),
	createRoute('grant', {
		service: 'submit', rank: 0, perS: 152, workMs: 250, objectiveMs: 1500, deadlineMs: 5000, isSafe: false, calls: ['slots', 'slots'],
	}),
	createRoute('book', {
		service: 'assess', rank: 0, perS: 152, workMs: 129, objectiveMs: 501, deadlineMs: 2000, isSafe: false,
	}),
	createRoute('lookup', {
		service: 'rules', rank: 2, perS: 82, workMs: 724, objectiveMs: 2000, deadlineMs: 8000,
	}),
	createRoute('case', {
		service: 'submit', rank: 1, perS: 0, workMs: 15, objectiveMs: 1000, deadlineMs: 2500, calls: ['slots'],
	}),
	createRoute('slots', {
		service: 'assess', rank: 1, perS: 0, workMs: 15, objectiveMs: 800, deadlineMs: 2000, calls: ['rule', 'rule', 'rule', 'rule'],
	}),
	createRoute('rule', {
		service: 'rules', rank: 1, perS: 0, workMs: 45, objectiveMs: 300, deadlineMs: 700,
	}),
];
