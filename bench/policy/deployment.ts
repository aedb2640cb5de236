import {readFileSync} from 'node:fs';
import {generateConfiguration, parseAnswers} from '../../src/config/index.js';
import {
	type ConfigObject, SITE_OBJECT_NAME, serviceObjectName,
} from '../../src/core/index.js';
import {type ChildCall, type HostOptions} from '../../fakes/index.js';

/** One-way network delay between callers and daemons. */
const CALLER_DELAY_MS = 8;
const CONFIG_GENERATION = 1;

/** The operation of a service that a call asks for. */
type CallSpec = {readonly service: string; readonly operation: string};

/** An operation of a service and the calls that it makes. */
type OperationPlan = {
	readonly name: string;
	readonly kind: string;
	readonly idempotent: boolean;
	/** How long a caller waits for the answer. */
	readonly waitMs: number;
	/** Groups of child calls; the groups follow one another, the calls of a group run in parallel. */
	readonly callGroups: ReadonlyArray<readonly CallSpec[]>;
};

/** A service and the capacity of each of its upstreams. */
type ServicePlan = {
	readonly name: string;
	readonly upstreams: number;
	readonly slots: number;
	readonly connections: number;
	/** Mean service time of a run, without its child calls. */
	readonly meanMs: number;
	readonly operations: readonly OperationPlan[];
};

/** A kind of request that callers send, and its share of all their requests. */
export type RootKind = {readonly service: string; readonly operation: string; readonly share: number; readonly isImportant: boolean};

/** A simulated site: its services, the mix of requests that callers send, and its network delays. */
export type Deployment = {
	readonly name: string;
	readonly failureDomains: readonly string[];
	readonly region: string;
	/** One-way network delay between two failure domains. */
	readonly domainDelayMs: number;
	readonly callerDelayMs: number;
	readonly services: readonly ServicePlan[];
	readonly roots: readonly RootKind[];
	/** The service at the end of the call chains, which the slowdown scenarios slow. */
	readonly deepestService: string;
};

const createOperationPlan = (name: string, kind: string, waitMs: number, groups: OperationPlan['callGroups'] = []): OperationPlan => ({
	name, kind, waitMs, callGroups: groups, idempotent: kind === 'status-check' || kind === 'search' || kind === 'lookup',
});
const callTo = (service: string, name: string): CallSpec => ({service, operation: name});

function readServiceSizes(example: string): Map<string, {upstreams: number; slots: number; connections: number}> {
	const answers = parseAnswers(JSON.parse(readFileSync(`examples/${example}/answers.json`, 'utf8')));
	return new Map(answers.services.map(service => [service.name, service]));
}

function createServicePlan(sizes: ReturnType<typeof readServiceSizes>, name: string, meanMs: number, operations: OperationPlan[]): ServicePlan {
	const {upstreams, slots, connections} = sizes.get(name)!;
	return {
		name, upstreams, slots, connections, meanMs, operations,
	};
}

/** Threshold Adapt: four services. Applications calls councils and assessments in parallel, and both call eligibility. */
export function createThresholdDeployment(): Deployment {
	const sizes = readServiceSizes('threshold-adapt');
	const councilsAndAssessments = [[callTo('councils', 'read'), callTo('assessments', 'read')]];
	const eligibility = [[callTo('eligibility', 'check')]];
	return {
		name: 'threshold',
		region: 'uk-south',
		failureDomains: ['uk-south-a', 'uk-south-b', 'uk-south-c'],
		domainDelayMs: 0.5,
		callerDelayMs: CALLER_DELAY_MS,
		services: [
			createServicePlan(sizes, 'applications', 30, [
				createOperationPlan('status', 'status-check', 3000, councilsAndAssessments),
				createOperationPlan('submit', 'submission', 6000, councilsAndAssessments),
			]),
			createServicePlan(sizes, 'councils', 40, [createOperationPlan('read', 'lookup', 3000, eligibility)]),
			createServicePlan(sizes, 'assessments', 40, [
				createOperationPlan('read', 'lookup', 3000, eligibility),
				createOperationPlan('book', 'booking', 6000, [[callTo('councils', 'read')], [callTo('eligibility', 'check')]]),
			]),
			createServicePlan(sizes, 'eligibility', 60, [createOperationPlan('check', 'lookup', 2000)]),
		],
		roots: [
			{
				service: 'applications', operation: 'status', share: 0.7, isImportant: false,
			},
			{
				service: 'applications', operation: 'submit', share: 0.2, isImportant: true,
			},
			{
				service: 'assessments', operation: 'book', share: 0.1, isImportant: true,
			},
		],
		deepestService: 'eligibility',
	};
}

/** Riddim Roster: four services. An invoice passes through all of them. */
export function createRiddimDeployment(): Deployment {
	const sizes = readServiceSizes('riddim-roster');
	const reel = [[callTo('reelhouse', 'reel')]];
	return {
		name: 'riddim',
		region: 'jm-south',
		failureDomains: ['jm-south-a', 'jm-south-b', 'jm-south-c'],
		domainDelayMs: 1,
		callerDelayMs: CALLER_DELAY_MS,
		services: [
			createServicePlan(sizes, 'findplayer', 25, [
				createOperationPlan('search', 'search', 2000, reel),
				createOperationPlan('profile', 'lookup', 1500, reel),
			]),
			createServicePlan(sizes, 'bookdesk', 30, [
				createOperationPlan('calendar', 'lookup', 2000, [[callTo('findplayer', 'profile')]]),
				createOperationPlan('hold', 'hold', 4000, [[callTo('findplayer', 'profile'), callTo('paytab', 'balance')]]),
			]),
			createServicePlan(sizes, 'paytab', 30, [
				createOperationPlan('invoice', 'invoice', 4000, [[callTo('bookdesk', 'calendar')]]),
				createOperationPlan('balance', 'lookup', 1500),
			]),
			createServicePlan(sizes, 'reelhouse', 50, [createOperationPlan('reel', 'search', 2000)]),
		],
		roots: [
			{
				service: 'findplayer', operation: 'search', share: 0.7, isImportant: false,
			},
			{
				service: 'bookdesk', operation: 'hold', share: 0.2, isImportant: true,
			},
			{
				service: 'paytab', operation: 'invoice', share: 0.1, isImportant: true,
			},
		],
		deepestService: 'reelhouse',
	};
}

/** A chain of services with equal capacity, except for the last one, which has fewer slots and longer service times. */
export function createChainDeployment(depth: number): Deployment {
	const last = depth - 1;
	return {
		...createRiddimDeployment(),
		name: `chain${depth}`,
		services: Array.from({length: depth}, (_, at) => ({
			name: `s${at}`,
			upstreams: 2,
			slots: at === last ? 10 : 120,
			connections: 600,
			meanMs: at === last ? 40 : 8,
			operations: ['low', 'high'].map(name => {
				const kind = name === 'low' ? 'search' : 'hold';
				const calls = at === last ? [] : [[callTo(`s${at + 1}`, 'low')]];
				return createOperationPlan(name, at === 0 ? kind : 'search', 3000, calls);
			}),
		})),
		roots: [
			{
				service: 's0', operation: 'low', share: 0.7, isImportant: false,
			},
			{
				service: 's0', operation: 'high', share: 0.3, isImportant: true,
			},
		],
		deepestService: `s${last}`,
	};
}

/** @throws if the deployment lacks the operation that the call names */
export function findOperation(deployment: Deployment, {service: name, operation: wanted}: CallSpec): OperationPlan {
	const plan = deployment.services.find(service => service.name === name)?.operations.find(operation => operation.name === wanted);
	if (plan === undefined) {
		throw new Error(`service ${name} of the deployment has no operation ${wanted}`);
	}

	return plan;
}

/** Generates the configuration objects from answers that describe the deployment, as a site's team does. */
export function createConfig(deployment: Deployment): ConfigObject[] {
	const declaration = generateConfiguration(parseAnswers({
		site: deployment.name,
		callers: {resendForMs: 120_000, clockErrorMs: 1000},
		services: deployment.services.map(({name, upstreams, slots, connections, operations}) => ({
			name,
			upstreams,
			slots,
			connections,
			requests: operations.map(plan => ({
				name: plan.name,
				kind: plan.kind,
				method: plan.idempotent ? 'GET' : 'POST',
				path: `/${plan.name}`,
				waitMs: plan.waitMs,
				calls: [...new Set(plan.callGroups.flat().map(call => call.service))],
			})),
		})),
	}));
	const objects: ConfigObject[] = [{
		name: SITE_OBJECT_NAME, generation: CONFIG_GENERATION, operationId: 'first', spec: declaration.site,
	}];
	for (const [name, spec] of Object.entries(declaration.services)) {
		objects.push({
			name: serviceObjectName(name), generation: CONFIG_GENERATION, operationId: 'first', spec,
		});
	}

	return objects;
}

/** Lists the hosts of a deployment; each has one target and its daemon. */
export function createHosts(deployment: Deployment, cold?: {factor: number; ms: number}): HostOptions[] {
	return deployment.services.flatMap(plan => Array.from({length: plan.upstreams}, (_, index) => ({
		id: `${plan.name}-${index}`,
		region: deployment.region,
		failureDomain: deployment.failureDomains[index % deployment.failureDomains.length],
		service: plan.name,
		target: {
			slots: plan.slots,
			connections: plan.connections,
			meanMs: plan.meanMs,
			coldFactor: cold?.factor,
			coldMs: cold?.ms,
			calls: (name: string) => createChildCalls(deployment, plan, name),
		},
	})));
}

function createChildCalls(deployment: Deployment, plan: ServicePlan, name: string): ChildCall[][] {
	const found = plan.operations.find(operation => operation.name === name);
	return (found?.callGroups ?? []).map(group => group.map(call => {
		const {idempotent} = findOperation(deployment, call);
		return {
			service: call.service, operation: call.operation, method: idempotent ? 'GET' : 'POST', path: `/${call.operation}`, idempotent,
		};
	}));
}

/** Calculates the slot time, in ms, that an average request of the mix takes at each service, by service name. A run holds its slot during its child calls. */
function slotMsPerRoot(deployment: Deployment): Map<string, number> {
	const slotMs = new Map<string, number>();
	const visit = (call: CallSpec, weight: number): number => {
		const plan = deployment.services.find(service => service.name === call.service)!;
		const childMs = findOperation(deployment, call).callGroups.map(group => Math.max(...group.map(child => visit(child, weight))));
		let slotHoldMs = plan.meanMs;
		for (const ms of childMs) {
			slotHoldMs += ms + (2 * deployment.domainDelayMs);
		}

		slotMs.set(call.service, (slotMs.get(call.service) ?? 0) + (weight * slotHoldMs));
		return slotHoldMs;
	};

	for (const root of deployment.roots) {
		visit(root, root.share);
	}

	return slotMs;
}

/** Calculates how many requests a second the slots can serve, from slots and service times alone. */
export function calculateCapacity(deployment: Deployment): number {
	const slotMs = slotMsPerRoot(deployment);
	const rates = deployment.services.map(({name, upstreams, slots}) => 1000 * upstreams * slots / (slotMs.get(name) ?? 1));
	return Math.min(...rates);
}
