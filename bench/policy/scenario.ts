import {type Frame} from '../../src/core/index.js';
import {type FakeSite} from '../../fakes/index.js';
import {type Deployment} from './deployment.js';

const SURGE_MS = 60_000;
const FAULT_MS = 20_000;
const SLOWDOWN = 5;

/** A load and what befalls the site under it. */
export type Scenario = {
	readonly name: string;
	/** Demand before and after, as a part of capacity. */
	readonly steady: number;
	/** Demand during the pressure, as a part of the capacity before it. */
	readonly demand: number;
	readonly pressureMs: number;
	readonly begin?: (site: FakeSite, deployment: Deployment) => void;
	readonly end?: (site: FakeSite, deployment: Deployment) => void;
	/** The deployment as it is under pressure, for working out its capacity. */
	readonly during?: (deployment: Deployment) => Deployment;
	/** Whether the site has all its capacity back when the pressure ends. */
	readonly recovers: boolean;
	/** Makes targets start cold. */
	readonly cold?: {readonly factor: number; readonly ms: number};
	/** Whether there is overload or a failure, so that the baselines must be beaten. */
	readonly isHard: boolean;
};

const slowDeep = (site: FakeSite, {services, deepService}: Deployment, factor: number) => {
	const plan = services.find(({name}) => name === deepService)!;
	for (let index = 0; index < plan.upstreams; index++) {
		site.target(`${deepService}-${index}`)!.slowdown = factor;
	}
};

const slowed = (deployment: Deployment): Deployment => ({
	...deployment,
	services: deployment.services.map(plan => (plan.name === deployment.deepService ? {...plan, meanMs: plan.meanMs * SLOWDOWN} : plan)),
});

const without = (deployment: Deployment, lost: (index: number) => boolean): Deployment => ({
	...deployment,
	services: deployment.services.map(plan => ({
		...plan,
		upstreams: Array.from({length: plan.upstreams}, (_, index) => index).filter(index => !lost(index)).length,
	})),
});

const inDomain = ({failureDomains}: Deployment) => (index: number) => index % failureDomains.length === 0;

const hostsWhere = ({services}: Deployment, wanted: (index: number) => boolean): string[] =>
	services.flatMap(({name, upstreams}) => Array.from({length: upstreams}, (_, index) => index).filter(index => wanted(index)).map(index => `${name}-${index}`));

const forEachHost = (ids: readonly string[], act: (id: string) => void) => {
	for (const id of ids) {
		act(id);
	}
};

const surge = (factor: number): Scenario => ({
	name: `surge-${factor}x`, steady: 0.7, demand: factor, pressureMs: SURGE_MS, recovers: true, isHard: true,
});

/** Replaces what daemons say of their load: first by the first report, then by nothing at all. */
function mislead(site: FakeSite): void {
	const first = new Map<string, {outstanding: number; limit: number}>();
	const startMs = site.nowMs;
	site.network.rewriteFrame = (from, frame): Frame => {
		if (frame.type !== 'answer' && frame.type !== 'heartbeat') {
			return frame;
		}

		if (!first.has(from)) {
			first.set(from, frame.load);
		}

		const frozen = site.nowMs - startMs < FAULT_MS / 2;
		return {...frame, load: frozen ? first.get(from)! : {outstanding: 0, limit: frame.load.limit}};
	};
}

/** All scenarios of the policy bench. */
export const SCENARIOS: readonly Scenario[] = [
	{
		name: 'steady', steady: 0.7, demand: 0.7, pressureMs: FAULT_MS, recovers: true, isHard: false,
	},
	surge(1.5),
	surge(2),
	surge(3),
	surge(10),
	{
		name: 'deep-slowdown',
		steady: 0.9,
		demand: 0.9,
		pressureMs: FAULT_MS,
		recovers: true,
		isHard: true,
		begin(site, deployment) {
			slowDeep(site, deployment, SLOWDOWN);
		},
		end(site, deployment) {
			slowDeep(site, deployment, 1);
		},
		during: slowed,
	},
	{
		name: 'upstream-dies',
		steady: 0.9,
		demand: 0.9,
		pressureMs: FAULT_MS,
		recovers: true,
		isHard: true,
		begin(site, deployment) {
			forEachHost(hostsWhere(deployment, index => index === 0), id => {
				site.killHost(id);
			});
		},
		end(site, deployment) {
			forEachHost(hostsWhere(deployment, index => index === 0), id => {
				site.restartHost(id);
			});
		},
		during: deployment => without(deployment, index => index === 0),
	},
	{
		name: 'domain-lost',
		steady: 0.6,
		demand: 0.6,
		pressureMs: FAULT_MS,
		recovers: true,
		isHard: true,
		begin(site, deployment) {
			forEachHost(hostsWhere(deployment, inDomain(deployment)), id => {
				site.killHost(id);
			});
		},
		end(site, deployment) {
			forEachHost(hostsWhere(deployment, inDomain(deployment)), id => {
				site.restartHost(id);
			});
		},
		during: deployment => without(deployment, inDomain(deployment)),
	},
	{
		name: 'cold-start',
		steady: 0.6,
		demand: 0.6,
		pressureMs: FAULT_MS,
		recovers: true,
		isHard: true,
		cold: {factor: 3, ms: 5000},
		begin(site, deployment) {
			forEachHost(hostsWhere(deployment, index => index % 2 === 0), id => {
				site.killHost(id);
				site.restartHost(id);
			});
		},
	},
	{
		name: 'lying-load',
		steady: 0.9,
		demand: 0.9,
		pressureMs: FAULT_MS,
		recovers: true,
		isHard: false,
		begin: mislead,
		end(site) {
			site.network.rewriteFrame = undefined;
		},
	},
	{
		name: 'all-at-once',
		steady: 0.7,
		demand: 2,
		pressureMs: FAULT_MS,
		recovers: true,
		isHard: true,
		begin(site, deployment) {
			slowDeep(site, deployment, SLOWDOWN);
			site.platform.faults.outage = true;
		},
		end(site, deployment) {
			slowDeep(site, deployment, 1);
			site.platform.faults.outage = false;
		},
		during: slowed,
	},
];
