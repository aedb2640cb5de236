import {type HostOptions, FakeSite} from '../../fakes/index.js';
import {
	AimdCodel, BaselineNode, NoControl, type Policy, StaticLimit,
} from './baseline.js';
import {Callers, type RootRecord} from './callers.js';
import {
	type Deployment, capacityOf, configOf, hostsOf,
} from './deployment.js';
import {type Measures, measure} from './measure.js';
import {type Scenario} from './scenario.js';

const START_MS = 1_800_000_000_000;
const SETTLE_MS = 4000;
const BEFORE_MS = 10_000;
const AFTER_MS = 15_000;
const HOP_BUDGET_MS = 3000;

/** What decides: three baselines and the product. */
export const POLICIES = ['none', 'static', 'aimd', 'comfreydyke'] as const;
export type PolicyName = typeof POLICIES[number];

/** When a run's pressure began and ended, in ms from the start of the load. */
export type Phases = {readonly startMs: number; readonly beginMs: number; readonly endMs: number; readonly untilMs: number};

/** Runs one scenario under one policy. The same seed gives the same measures. */
export function runScenario(deployment: Deployment, scenario: Scenario, policy: PolicyName, seed: number): Measures {
	const capacity = capacityOf(deployment);
	const roots = new Map<string, RootRecord>();
	const upstreams = new Map(deployment.services.map(({name, upstreams: count}) => [name, Array.from({length: count}, (_, index) => `${name}-${index}`)]));
	const site = new FakeSite({
		seed,
		startMs: START_MS,
		hosts: hostsOf(deployment, scenario.cold),
		config: configOf(deployment),
		callerDelayMs: deployment.callerDelayMs,
		delayMs: (from, to) => (domainOf(deployment, from) === domainOf(deployment, to) ? 0.1 : deployment.domainDelayMs),
		createDecider: policy === 'comfreydyke'
			? undefined
			: (host, hostSeed) => new BaselineNode({
				id: host.id,
				upstreams,
				policy: policyOf(policy, host),
				budgetMs: HOP_BUDGET_MS,
				passesDeadlines: policy === 'aimd',
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
	callers.rate = scenario.steady * capacity;
	callers.start();
	site.run(BEFORE_MS);
	scenario.begin?.(site, deployment);
	callers.rate = scenario.demand * capacity;
	callers.isRandom = scenario.demand !== scenario.steady;
	site.run(scenario.pressureMs);
	scenario.end?.(site, deployment);
	callers.rate = scenario.steady * capacity;
	callers.isRandom = false;
	site.run(AFTER_MS);
	const phases: Phases = {
		startMs, beginMs: startMs + BEFORE_MS, endMs: startMs + BEFORE_MS + scenario.pressureMs, untilMs: site.nowMs,
	};
	callers.rate = 0;
	site.run(HOP_BUDGET_MS * 3);
	return measure({
		deployment, scenario, policy, site, callers, phases, capacity,
	});
}

function domainOf({failureDomains}: Deployment, host: string): string {
	return failureDomains[Number(host.split('-').at(-1)) % failureDomains.length];
}

function policyOf(name: PolicyName, {target}: HostOptions): Policy {
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
