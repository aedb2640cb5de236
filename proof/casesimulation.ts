import {
	type CallerAnswer, type CallerRequest, type Decider, type FakeRequest, FakeSite, type FakeTargetOptions, type HostOptions, type SiteObserver,
} from '../fakes/index.js';
import {generateConfiguration} from '../src/config/index.js';
import {
	type ConfigObject, DaemonCore, SITE_OBJECT_NAME, type SiteSpec, serviceObjectName,
} from '../src/core/index.js';
import {type PlannedFault, type CasePlan} from './caseplan.js';

export const START_MS = 1_800_000_000_000;
/** How long the site runs before a case begins. */
const STARTUP_MS = 3000;
const DOMAINS = ['a', 'b', 'c'];

/** A service of the simulated site. */
export type SimulatedService = {
	readonly name: string;
	readonly upstreams: number;
	readonly target: Omit<FakeTargetOptions, 'calls' | 'connections'>;
	/** Calls that both its operations make, as `service/operation`. Groups run in turn, the calls of a group in parallel. */
	readonly calls: ReadonlyArray<readonly string[]>;
	readonly waitMs?: number;
};

/** Replaces a host's core by a defective one, to show that a check detects the defect. */
export type Sabotage = (core: DaemonCore, host: HostOptions) => Decider;

/** Set-up of a simulation. */
export type SimulationOptions = {
	readonly plan: CasePlan;
	readonly services: readonly SimulatedService[];
	readonly witness?: SiteObserver;
	readonly sabotage?: Sabotage;
	readonly dropsContext?: boolean;
	readonly ledgerCapacity?: number;
};

/** Attributes of a send besides its request. */
export type SendOptions = Pick<CallerRequest, 'key' | 'attempt' | 'budgetMs' | 'loseAnswer'>;

// Every service has one idempotent and one non-idempotent operation.
const OPERATIONS = [
	{
		name: 'read', kind: 'status-check', method: 'GET', idempotent: true,
	},
	{
		name: 'write', kind: 'submission', method: 'POST', idempotent: false,
	},
] as const;

export function createConfigObjects(services: readonly SimulatedService[]): ConfigObject[] {
	const declaration = generateConfiguration({
		site: 'proof',
		callers: {resendForMs: 60_000, clockErrorMs: 100},
		services: services.map(({name, upstreams, target, calls, waitMs}) => ({
			name,
			upstreams,
			slots: target.slots,
			connections: target.slots * 4,
			requests: OPERATIONS.map(({name: operation, kind, method}) => ({
				name: operation, kind, method, path: `/${operation}`, waitMs: waitMs ?? 2000, calls: [...new Set(calls.flat().map(call => call.split('/')[0]))],
			})),
		})),
	});
	return [
		{
			name: SITE_OBJECT_NAME, generation: 1, operationId: 'first', spec: declaration.site,
		},
		...Object.entries(declaration.services).map(([name, spec]) => ({
			name: serviceObjectName(name), generation: 1, operationId: 'first', spec,
		})),
	];
}

/** Returns the retry tokens of a caller's request in a site with these services. */
export function retryTokensOf(services: readonly SimulatedService[]): number {
	return (createConfigObjects(services)[0].spec as SiteSpec).retryPot;
}

/** A simulated site in virtual time, with the faults of a plan. */
export class CaseSimulation {
	readonly site: FakeSite;
	readonly faultCounts: Record<string, number> = {};
	/** Time of each host's last planned stop. */
	readonly stopTimesMs = new Map<string, number>();
	readonly #options: SimulationOptions;
	#requests = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		const {plan, services, witness, sabotage} = options;
		this.site = new FakeSite({
			seed: plan.seed,
			startMs: START_MS,
			hosts: services.flatMap(service => createHosts(service)),
			config: createConfigObjects(services),
			delayMs: () => 0.5,
			callerDelayMs: 2,
			tickMs: 20,
			dropsContext: options.dropsContext,
			ledgerCapacity: options.ledgerCapacity,
			observer: witness,
			createDecider: sabotage === undefined
				? undefined
				: (host, seed, nowMs) => sabotage(new DaemonCore({
					id: host.id, address: host.id, region: host.region, failureDomain: host.failureDomain, seed, ledgerCapacity: options.ledgerCapacity,
				}, nowMs), host),
		});
		this.site.run(STARTUP_MS);
	}

	get requests(): number {
		return this.#requests;
	}

	/** Sets the network fault probabilities and schedules the plan's faults, relative to now. */
	scheduleFaults(): void {
		const {plan} = this.#options;
		for (const [fault, share] of Object.entries({
			drop: plan.drop, duplicate: plan.duplicate, reorder: plan.reorder, reset: plan.reset,
		})) {
			this.site.network.faults[fault as 'drop'] = share / 1000;
		}

		for (const fault of plan.faults) {
			this.site.scheduler.schedule(fault.atMs, () => {
				this.#injectFault(fault);
			});
		}
	}

	/** Ends all faults, then runs the site for this time, so that delayed messages arrive. */
	endFaultsAndRun(forMs: number): void {
		const {network, platform} = this.site;
		Object.assign(network.faults, {
			drop: 0, duplicate: 0, reorder: 0, reset: 0,
		});
		network.healCuts();
		Object.assign(platform.faults, {outage: false, slowMs: 0, stale: 0});
		for (const id of this.site.ids) {
			this.site.resume(id);
		}

		this.site.run(forMs);
		for (const [kind, count] of Object.entries({...network.faultCounts, ...platform.faultCounts})) {
			this.faultCounts[kind] = (this.faultCounts[kind] ?? 0) + count;
		}
	}

	/** Sends a request to a host; the returned `abandon` ends the caller's wait. */
	send(host: string, request: FakeRequest, {key, attempt, budgetMs, loseAnswer}: SendOptions, done: (answer: CallerAnswer) => void): {abandon: () => void} {
		this.#requests++;
		const operation = OPERATIONS.find(({name}) => name === request.operation)!;
		return this.site.send(host, {
			request, method: operation.method, path: `/${operation.name}`, key, attempt, budgetMs, loseAnswer,
		}, done);
	}

	hostAt(index: number): string {
		const {ids} = this.site;
		return ids[index % ids.length];
	}

	#injectFault(fault: PlannedFault): void {
		const host = this.hostAt(fault.host);
		const {site} = this;
		const scheduleEnd = (action: () => void) => {
			site.scheduler.schedule(fault.forMs, action);
		};

		this.faultCounts[fault.kind] = (this.faultCounts[fault.kind] ?? 0) + 1;
		switch (fault.kind) {
			case 'kill': {
				site.kill(host);
				break;
			}

			case 'restart': {
				site.kill(host);
				scheduleEnd(() => {
					if (!site.isUp(host)) {
						site.start(host);
					}
				});
				break;
			}

			case 'pause': {
				site.pause(host);
				scheduleEnd(() => {
					site.resume(host);
				});
				break;
			}

			case 'cut': {
				scheduleEnd(site.network.cut(host, this.hostAt(fault.other)));
				break;
			}

			case 'stop': {
				this.stopTimesMs.set(host, site.nowMs);
				site.stop(host);
				break;
			}

			case 'outage': {
				site.platform.faults.outage = true;
				scheduleEnd(() => {
					site.platform.faults.outage = false;
				});
				break;
			}

			case 'slow-platform': {
				site.platform.faults.slowMs = 800;
				scheduleEnd(() => {
					site.platform.faults.slowMs = 0;
				});
				break;
			}

			case 'stale-platform': {
				site.platform.faults.stale = 0.5;
				scheduleEnd(() => {
					site.platform.faults.stale = 0;
				});
				break;
			}
		}
	}
}

function createHosts(service: SimulatedService): HostOptions[] {
	const groups = service.calls.map(group => group.map(call => {
		const [name, operation] = call.split('/');
		const {method, idempotent} = OPERATIONS.find(one => one.name === operation)!;
		return {
			service: name, operation, method, path: `/${operation}`, idempotent,
		};
	}));
	return Array.from({length: service.upstreams}, (_, index) => ({
		id: `${service.name}-${index}`,
		region: 'r',
		failureDomain: DOMAINS[index % DOMAINS.length],
		service: service.name,
		target: {...service.target, connections: service.target.slots * 4, calls: () => groups},
	}));
}

/** Creates the request that a caller sends; its digest identifies the expected answer. */
export function createRequest(root: string, service: string, operation: 'read' | 'write', send = 1): FakeRequest {
	return {
		root, service, operation, className: operation, idempotent: operation === 'read', digest: `digest of ${root}`, send, callId: `${root}/${send}`,
	};
}

/** Creates an idempotency key in UUIDv7 form, which carries its creation time. */
export function createTimedKey(ms: number, number: number): string {
	const time = Math.floor(ms).toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number.toString(16).padStart(12, '0')}`;
}
