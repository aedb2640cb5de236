import {type Frame} from '../../src/core/index.js';
import {type FakeSite} from '../../fakes/index.js';
import {type Deployment} from './deployment.js';

/** How long a surge of demand lasts. */
const SURGE_MS = 60_000;
/** How long any other pressure lasts. */
const FAULT_MS = 20_000;
/** Factor on the service times of the deepest service. */
const SLOWDOWN_FACTOR = 5;

/** A load on a site, and the pressure (more demand or a fault) that the site must withstand. */
export type Scenario = {
	readonly name: string;
	/** Demand before and after the pressure, as a share of capacity. */
	readonly steadyDemand: number;
	/** Demand during the pressure, as a share of the capacity before it. */
	readonly pressureDemand: number;
	readonly pressureMs: number;
	/** Injects the fault. */
	readonly begin?: (site: FakeSite, deployment: Deployment) => void;
	/** Removes the fault. */
	readonly end?: (site: FakeSite, deployment: Deployment) => void;
	/** Returns the deployment as it is under pressure, from which its capacity is calculated. */
	readonly underPressure?: (deployment: Deployment) => Deployment;
	/** Whether the site has its full capacity again when the pressure ends. */
	readonly recovers: boolean;
	/** Makes targets slower by a factor for a time, in ms, after their start. */
	readonly cold?: {readonly factor: number; readonly ms: number};
	/** Whether the scenario has overload or a failure; comfreydyke must then recover no later than each baseline. */
	readonly isOverloadOrFailure: boolean;
};

const setDeepestSlowdown = (site: FakeSite, {services, deepestService}: Deployment, factor: number) => {
	const plan = services.find(({name}) => name === deepestService)!;
	for (let index = 0; index < plan.upstreams; index++) {
		site.target(`${deepestService}-${index}`)!.slowdown = factor;
	}
};

const withDeepestSlowed = (deployment: Deployment): Deployment => ({
	...deployment,
	services: deployment.services.map(plan => (plan.name === deployment.deepestService ? {...plan, meanMs: plan.meanMs * SLOWDOWN_FACTOR} : plan)),
});

const withoutHosts = (deployment: Deployment, isLost: (index: number) => boolean): Deployment => ({
	...deployment,
	services: deployment.services.map(plan => ({
		...plan,
		upstreams: Array.from({length: plan.upstreams}, (_, index) => index).filter(index => !isLost(index)).length,
	})),
});

const isInFirstDomain = ({failureDomains}: Deployment) => (index: number) => index % failureDomains.length === 0;

const hostIdsWhere = ({services}: Deployment, isWanted: (index: number) => boolean): string[] =>
	services.flatMap(({name, upstreams}) => Array.from({length: upstreams}, (_, index) => index).filter(index => isWanted(index)).map(index => `${name}-${index}`));

const forEachHost = (ids: readonly string[], act: (id: string) => void) => {
	for (const id of ids) {
		act(id);
	}
};

const createSurge = (factor: number): Scenario => ({
	name: `surge-${factor}x`, steadyDemand: 0.7, pressureDemand: factor, pressureMs: SURGE_MS, recovers: true, isOverloadOrFailure: true,
});

/** Falsifies the load reports of daemons: repeats each daemon's first report for half the fault, then reports no outstanding calls. */
function misreportLoad(site: FakeSite): void {
	const firstReports = new Map<string, {outstanding: number; limit: number}>();
	const startMs = site.nowMs;
	site.network.rewriteFrame = (from, frame): Frame => {
		if (frame.type !== 'answer' && frame.type !== 'heartbeat') {
			return frame;
		}

		if (!firstReports.has(from)) {
			firstReports.set(from, frame.load);
		}

		const isFrozen = site.nowMs - startMs < FAULT_MS / 2;
		return {...frame, load: isFrozen ? firstReports.get(from)! : {outstanding: 0, limit: frame.load.limit}};
	};
}

/** All scenarios of the policy benchmark. */
export const SCENARIOS: readonly Scenario[] = [
	{
		name: 'steady', steadyDemand: 0.7, pressureDemand: 0.7, pressureMs: FAULT_MS, recovers: true, isOverloadOrFailure: false,
	},
	createSurge(1.5),
	createSurge(2),
	createSurge(3),
	createSurge(10),
	{
		name: 'deep-slowdown',
		steadyDemand: 0.9,
		pressureDemand: 0.9,
		pressureMs: FAULT_MS,
		recovers: true,
		isOverloadOrFailure: true,
		begin(site, deployment) {
			setDeepestSlowdown(site, deployment, SLOWDOWN_FACTOR);
		},
		end(site, deployment) {
			setDeepestSlowdown(site, deployment, 1);
		},
		underPressure: withDeepestSlowed,
	},
	{
		name: 'upstream-dies',
		steadyDemand: 0.9,
		pressureDemand: 0.9,
		pressureMs: FAULT_MS,
		recovers: true,
		isOverloadOrFailure: true,
		begin(site, deployment) {
			forEachHost(hostIdsWhere(deployment, index => index === 0), id => {
				site.killHost(id);
			});
		},
		end(site, deployment) {
			forEachHost(hostIdsWhere(deployment, index => index === 0), id => {
				site.restartHost(id);
			});
		},
		underPressure: deployment => withoutHosts(deployment, index => index === 0),
	},
	{
		name: 'domain-lost',
		steadyDemand: 0.6,
		pressureDemand: 0.6,
		pressureMs: FAULT_MS,
		recovers: true,
		isOverloadOrFailure: true,
		begin(site, deployment) {
			forEachHost(hostIdsWhere(deployment, isInFirstDomain(deployment)), id => {
				site.killHost(id);
			});
		},
		end(site, deployment) {
			forEachHost(hostIdsWhere(deployment, isInFirstDomain(deployment)), id => {
				site.restartHost(id);
			});
		},
		underPressure: deployment => withoutHosts(deployment, isInFirstDomain(deployment)),
	},
	{
		name: 'cold-start',
		steadyDemand: 0.6,
		pressureDemand: 0.6,
		pressureMs: FAULT_MS,
		recovers: true,
		isOverloadOrFailure: true,
		cold: {factor: 3, ms: 5000},
		begin(site, deployment) {
			forEachHost(hostIdsWhere(deployment, index => index % 2 === 0), id => {
				site.killHost(id);
				site.restartHost(id);
			});
		},
	},
	{
		name: 'lying-load',
		steadyDemand: 0.9,
		pressureDemand: 0.9,
		pressureMs: FAULT_MS,
		recovers: true,
		isOverloadOrFailure: false,
		begin: misreportLoad,
		end(site) {
			site.network.rewriteFrame = undefined;
		},
	},
	{
		name: 'all-at-once',
		steadyDemand: 0.7,
		pressureDemand: 2,
		pressureMs: FAULT_MS,
		recovers: true,
		isOverloadOrFailure: true,
		begin(site, deployment) {
			setDeepestSlowdown(site, deployment, SLOWDOWN_FACTOR);
			site.platform.faults.outage = true;
		},
		end(site, deployment) {
			setDeepestSlowdown(site, deployment, 1);
			site.platform.faults.outage = false;
		},
		underPressure: withDeepestSlowed,
	},
];
