import {type HostOptions, FakeSite} from '../../fakes/index.js';
import {
	AimdCodel, BaselineDaemon, NoControl, type Policy, StaticLimit,
} from './baseline.js';
import {Callers, type RootRecord} from './callers.js';
import {
	type Deployment, calculateCapacity, createConfig, createHosts,
} from './deployment.js';
import {type Measures, measure} from './measure.js';
import {type Scenario} from './scenario.js';

const START_MS = 1_800_000_000_000;
/** How long the site runs without load before a measurement. */
const SETTLE_MS = 4000;
/** Load time before the pressure. */
const STEADY_MS = 10_000;
/** Load time after the pressure. */
const RECOVERY_MS = 15_000;
/** Time that each hop of a baseline waits for an answer. */
const HOP_BUDGET_MS = 3000;

/** Overload policies that are compared: three baselines, and comfreydyke itself. */
export const POLICIES = ['none', 'static', 'aimd', 'comfreydyke'] as const;
export type PolicyName = typeof POLICIES[number];

/** Times of a run on the simulated clock, in ms: start of the load, start and end of the pressure, end of the load. */
export type Phases = {readonly startMs: number; readonly pressureStartMs: number; readonly pressureEndMs: number; readonly untilMs: number};

/** Runs one scenario under one policy. The same seed gives the same results. */
export function runScenario(deployment: Deployment, scenario: Scenario, policy: PolicyName, seed: number): Measures {
	const capacity = calculateCapacity(deployment);
	const roots = new Map<string, RootRecord>();
	const upstreams = new Map(deployment.services.map(({name, upstreams: count}) => [name, Array.from({length: count}, (_, index) => `${name}-${index}`)]));
	const site = new FakeSite({
		seed,
		startMs: START_MS,
		hosts: createHosts(deployment, scenario.cold),
		config: createConfig(deployment),
		callerDelayMs: deployment.callerDelayMs,
		delayMs: (from, to) => (failureDomainOf(deployment, from) === failureDomainOf(deployment, to) ? 0.1 : deployment.domainDelayMs),
		createDecider: policy === 'comfreydyke'
			? undefined
			: (host, hostSeed) => new BaselineDaemon({
				id: host.id,
				upstreams,
				policy: createPolicy(policy, host),
				budgetMs: HOP_BUDGET_MS,
				propagatesDeadlines: policy === 'aimd',
				seed: hostSeed,
			}),
		observer: {
			onSlotTime(host, request, ms, complete) {
				const record = roots.get(request.root);
				if (record !== undefined) {
					record.slotMs += ms;
					record.wastedMs += complete ? 0 : ms;
				}
			},
		},
	});
	site.run(SETTLE_MS);
	const callers = new Callers(site, deployment, seed + 1, roots);
	const startMs = site.nowMs;
	callers.ratePerSecond = scenario.steadyDemand * capacity;
	callers.start();
	site.run(STEADY_MS);
	scenario.begin?.(site, deployment);
	callers.ratePerSecond = scenario.pressureDemand * capacity;
	callers.hasRandomArrivals = scenario.pressureDemand !== scenario.steadyDemand;
	site.run(scenario.pressureMs);
	scenario.end?.(site, deployment);
	callers.ratePerSecond = scenario.steadyDemand * capacity;
	callers.hasRandomArrivals = false;
	site.run(RECOVERY_MS);
	const phases: Phases = {
		startMs, pressureStartMs: startMs + STEADY_MS, pressureEndMs: startMs + STEADY_MS + scenario.pressureMs, untilMs: site.nowMs,
	};
	callers.ratePerSecond = 0;
	site.run(HOP_BUDGET_MS * 3);
	return measure({
		deployment, scenario, policy, site, callers, phases, capacity,
	});
}

function failureDomainOf({failureDomains}: Deployment, host: string): string {
	return failureDomains[Number(host.split('-').at(-1)) % failureDomains.length];
}

function createPolicy(name: PolicyName, {target}: HostOptions): Policy {
	const {slots, connections} = target!;
	switch (name) {
		case 'static': {
			return new StaticLimit(slots, connections);
		}

		case 'aimd': {
			return new AimdCodel(slots, connections);
		}

		case 'none':
		case 'comfreydyke': {
			return new NoControl();
		}
	}
}
