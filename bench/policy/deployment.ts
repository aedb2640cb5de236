import {readFileSync} from 'node:fs';
import {generateConfiguration, parseAnswers} from '../../src/config/index.js';
import {
	type ConfigObject, SITE_OBJECT_NAME, serviceObjectName,
} from '../../src/core/index.js';
import {type ChildCall, type HostOptions} from '../../fakes/index.js';

const CLIENT_DELAY_MS = 8;
const CONFIG_GENERATION = 1;

/** A call that an operation makes: `METHOD service operation`, idempotent or not. */
type CallSpec = {readonly service: string; readonly operation: string};

/** One kind of request of a service, with what it costs. */
type OperationPlan = {
	readonly name: string;
	readonly kind: string;
	readonly idempotent: boolean;
	readonly waitMs: number;
	readonly groups: ReadonlyArray<readonly CallSpec[]>;
};

type ServicePlan = {
	readonly name: string;
	readonly upstreams: number;
	readonly slots: number;
	readonly connections: number;
	readonly meanMs: number;
	readonly operations: readonly OperationPlan[];
};

/** A kind of request that callers send, and its part of all. */
export type RootKind = {readonly service: string; readonly operation: string; readonly share: number; readonly isImportant: boolean};

/** A site under test: its services, its callers' mix and its delays. */
export type Deployment = {
	readonly name: string;
	readonly failureDomains: readonly string[];
	readonly region: string;
	readonly domainDelayMs: number;
	readonly callerDelayMs: number;
	readonly services: readonly ServicePlan[];
	readonly roots: readonly RootKind[];
	/** The service whose slowing is tested. */
	readonly deepService: string;
	readonly recoveryBoundMs: number;
};

const operation = (name: string, kind: string, waitMs: number, groups: OperationPlan['groups'] = []): OperationPlan => ({
	name, kind, waitMs, groups, idempotent: kind === 'status-check' || kind === 'search' || kind === 'lookup',
});
const to = (service: string, name: string): CallSpec => ({service, operation: name});

function sizesOf(example: string): Map<string, {upstreams: number; slots: number; connections: number}> {
	const answers = parseAnswers(JSON.parse(readFileSync(`examples/${example}/answers.json`, 'utf8')));
	return new Map(answers.services.map(service => [service.name, service]));
}

function service(sizes: ReturnType<typeof sizesOf>, name: string, meanMs: number, operations: OperationPlan[]): ServicePlan {
	const {upstreams, slots, connections} = sizes.get(name)!;
	return {
		name, upstreams, slots, connections, meanMs, operations,
	};
}

/** Threshold Adapt: four services, applications fan out to councils and assessments, both to eligibility. */
export function threshold(): Deployment {
	const sizes = sizesOf('threshold-adapt');
	const both = [[to('councils', 'read'), to('assessments', 'read')]];
	const rules = [[to('eligibility', 'check')]];
	return {
		name: 'threshold',
		region: 'uk-south',
		failureDomains: ['uk-south-a', 'uk-south-b', 'uk-south-c'],
		domainDelayMs: 0.5,
		callerDelayMs: CLIENT_DELAY_MS,
		services: [
			service(sizes, 'applications', 30, [
				operation('status', 'status-check', 3000, both),
				operation('submit', 'submission', 6000, both),
			]),
			service(sizes, 'councils', 40, [operation('read', 'lookup', 3000, rules)]),
			service(sizes, 'assessments', 40, [
				operation('read', 'lookup', 3000, rules),
				operation('book', 'booking', 6000, [[to('councils', 'read')], [to('eligibility', 'check')]]),
			]),
			service(sizes, 'eligibility', 60, [operation('check', 'lookup', 2000)]),
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
		deepService: 'eligibility',
		recoveryBoundMs: 2000,
	};
}

/** Riddim Roster: four services, invoices go through all of them. */
export function riddim(): Deployment {
	const sizes = sizesOf('riddim-roster');
	const reel = [[to('reelhouse', 'reel')]];
	return {
		name: 'riddim',
		region: 'jm-south',
		failureDomains: ['jm-south-a', 'jm-south-b', 'jm-south-c'],
		domainDelayMs: 1,
		callerDelayMs: CLIENT_DELAY_MS,
		services: [
			service(sizes, 'findplayer', 25, [
				operation('search', 'search', 2000, reel),
				operation('profile', 'lookup', 1500, reel),
			]),
			service(sizes, 'bookdesk', 30, [
				operation('calendar', 'lookup', 2000, [[to('findplayer', 'profile')]]),
				operation('hold', 'hold', 4000, [[to('findplayer', 'profile'), to('paytab', 'balance')]]),
			]),
			service(sizes, 'paytab', 30, [
				operation('invoice', 'invoice', 4000, [[to('bookdesk', 'calendar')]]),
				operation('balance', 'lookup', 1500),
			]),
			service(sizes, 'reelhouse', 50, [operation('reel', 'search', 2000)]),
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
		deepService: 'reelhouse',
		recoveryBoundMs: 1000,
	};
}

/** A chain of services of the same make-up, the last one with fewer slots. */
export function chain(depth: number): Deployment {
	const last = depth - 1;
	return {
		...riddim(),
		name: `chain${depth}`,
		services: Array.from({length: depth}, (_, at) => ({
			name: `s${at}`,
			upstreams: 2,
			slots: at === last ? 10 : 120,
			connections: 600,
			meanMs: at === last ? 40 : 8,
			operations: ['low', 'high'].map(name => {
				const kind = name === 'low' ? 'search' : 'hold';
				const calls = at === last ? [] : [[to(`s${at + 1}`, 'low')]];
				return operation(name, at === 0 ? kind : 'search', 3000, calls);
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
		deepService: `s${last}`,
	};
}

/** The operation that a call names. */
export function operationOf(deployment: Deployment, {service: name, operation: wanted}: CallSpec): OperationPlan {
	const plan = deployment.services.find(one => one.name === name)?.operations.find(one => one.name === wanted);
	if (plan === undefined) {
		throw new Error(`no operation ${name} ${wanted}`);
	}

	return plan;
}

/** The configuration objects that a team's answers would give for a deployment. */
export function configOf(deployment: Deployment): ConfigObject[] {
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
				calls: [...new Set(plan.groups.flat().map(call => call.service))],
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

/** The hosts of a deployment: one target with its daemon on each. */
export function hostsOf(deployment: Deployment, cold?: {factor: number; ms: number}): HostOptions[] {
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
			calls: (name: string) => callsOf(deployment, plan, name),
		},
	})));
}

function callsOf(deployment: Deployment, plan: ServicePlan, name: string): ChildCall[][] {
	const found = plan.operations.find(one => one.name === name);
	return (found?.groups ?? []).map(group => group.map(call => {
		const {idempotent} = operationOf(deployment, call);
		return {
			service: call.service, operation: call.operation, method: idempotent ? 'GET' : 'POST', path: `/${call.operation}`, idempotent,
		};
	}));
}

/** How often one root of the mix calls each service, and for how long it holds a slot there, in ms. */
function demandOf(deployment: Deployment): Map<string, number> {
	const slotMs = new Map<string, number>();
	const visit = (call: CallSpec, weight: number): number => {
		const plan = deployment.services.find(one => one.name === call.service)!;
		const below = operationOf(deployment, call).groups.map(group => Math.max(...group.map(child => visit(child, weight))));
		let holdMs = plan.meanMs;
		for (const ms of below) {
			holdMs += ms + (2 * deployment.domainDelayMs);
		}

		slotMs.set(call.service, (slotMs.get(call.service) ?? 0) + (weight * holdMs));
		return holdMs;
	};

	for (const root of deployment.roots) {
		visit(root, root.share);
	}

	return slotMs;
}

/** Roots a second that the slots can serve, from slots and service times alone. */
export function capacityOf(deployment: Deployment): number {
	const slotMs = demandOf(deployment);
	const rates = deployment.services.map(({name, upstreams, slots}) => 1000 * upstreams * slots / (slotMs.get(name) ?? 1));
	return Math.min(...rates);
}
