import {MAX_FLOOR} from '../src/core/index.js';
import {
	Attempts, AdmissionQueue, PatientAdmission, type PatientRequest, type RunOutcome, type WaitDecision, type WaitingRequest, type QueuedCall, type HostEntry, HostTable, type LoadBalancerOptions, type LoadReport, LOAD_BALANCING, LoadBalancer, RetryBudget, type Route, ServiceTimes, TargetSpeed, LoadShedder, type Priority, TargetSignalTable, chooseRetryAfterMs, usableSlots,
} from '../src/mesh/index.js';
import {Random} from './random.js';
import {Scheduler} from './scheduler.js';

/** The one-way delay between two hosts, in ms. */
const LINK_MS = 0.7;
/** How long the mesh takes to tell all daemons, in ms. */
const GOSSIP_MS = 100;
/** The time that a target takes to shed a call, in ms. */
const SHED_MS = 1;
/** The interval at which hosts update their floor and remove expired calls from their queue, in ms. */
const HOUSEKEEPING_MS = 50;

/** A service with one speed for each instance, as a factor: 1 keeps the configured service time, 2 halves it. */
export type SimulatedService = {readonly name: string; readonly slots: number; readonly speeds: readonly number[]};
/** A route, the rate of its requests from clients, and the routes that each run calls one after the other. */
export type SimulatedRoute = {
	readonly route: Route;
	readonly requestsPerS: number;
	readonly workMs: number;
	readonly deadlineMs: number;
	readonly nestedRoutes: readonly string[];
};
/** A fault that lasts for a period of virtual time. */
export type LoadFault = {readonly fromMs: number; readonly untilMs: number} & (
	/** Multiplies the rate of the clients' requests. */
	| {readonly kind: 'surge'; readonly factor: number}
	/** All instances of a service shed a share of their calls without running them. */
	| {readonly kind: 'shed'; readonly service: string; readonly share: number}
	/** Multiplies the service time of one instance, or of each instance whose number `every` divides. */
	/** One instance names a rate limit, in requests per second. */
	| {readonly kind: 'limit'; readonly service: string; readonly copy: number; readonly perS: number}
	| {readonly kind: 'slow'; readonly service: string; readonly copy?: number; readonly every?: number; readonly factor: number}
);
/** Switches parts of the overload control off, so that tests can measure what each part contributes. */
export type LoadOverrides = {
	/** Whether a host refuses clients' requests by the floors of the services that they reach. */
	readonly shedsByFloors?: boolean;
	/** Whether the retry budget depends on the priority of the client's request. */
	readonly spendsRetriesByPriority?: boolean;
	/** Whether the load balancer chooses the host, rather than chance. */
	readonly usesLoadBalancing?: boolean;
	/** Whether requests wait for the end of a fault below them: by what the daemons know, or by the end itself. */
	readonly waitsForFaults?: 'no' | 'by-reports' | 'by-oracle';
	/** Whether all daemons hear of a target that its own daemon finds slow. */
	readonly sharesSlowness?: boolean;
	/** Options of the load balancer that differ from the defaults. */
	readonly loadBalancing?: Partial<LoadBalancerOptions>;
};
export type LoadSimulationOptions = {
	readonly services: readonly SimulatedService[];
	readonly routes: readonly SimulatedRoute[];
	readonly faults: readonly LoadFault[];
	readonly durationMs: number;
	readonly seed: number;
	readonly overrides?: LoadOverrides;
	/** The number of failure domains over which the instances of each service are spread; 1 unless it is set. */
	readonly domainCount?: number;
};
/** The outcomes of the clients' requests of one route. */
export type RouteTally = {requests: number; inTime: number; late: number; refused: number; failed: number};
/** A client's attempt that waits at its first daemon. */
type Held = WaitingRequest & {readonly start: () => void};
/** How an owner counts a run, by the reason of its end. */
const RUN_OUTCOMES: Record<string, RunOutcome> = {done: 'answered', below: 'failed-below', 'shed-by-target': 'turned-away'};
/** Bytes of requests that a daemon holds at most. */
const HELD_BYTES = 4_000_000;

type Outcome = 'served' | 'refused' | 'failed';
type Answer = {readonly outcome: Outcome; readonly reason: string; readonly report: LoadReport; readonly reached: readonly string[]};
/** A call at the host that runs it, from its admission to its answer. */
type SimulatedCall = QueuedCall & {readonly id: string; readonly load: SimulatedRoute; readonly mayBeDuplicate: boolean; readonly onAnswer: (answer: Answer) => void; startedMs: number; nestedMs: number};
/** A call that the daemon of `host` sends for a client or for a running call, before the load balancer chooses where to. */
type OutgoingCall = {readonly id: string; readonly load: SimulatedRoute; readonly host: Host; readonly priority: Priority; readonly isNested: boolean; readonly isForRetriedRun: boolean; readonly endMs: number; readonly objectiveEndMs: number};

type HostOptions = {readonly random: Random; readonly daemons: number; readonly domainCount: number; readonly loadBalancing?: Partial<LoadBalancerOptions> | undefined; readonly countsOutcomes: boolean};

class Host {
	readonly name: string;
	readonly service: SimulatedService;
	readonly copy: number;
	readonly loadBalancer: LoadBalancer;
	readonly loadShedder: LoadShedder;
	readonly retryBudget: RetryBudget;
	readonly admissionQueue: AdmissionQueue<SimulatedCall>;
	readonly serviceTimes = new ServiceTimes();
	readonly targetSpeed = new TargetSpeed();
	readonly patientAdmission: PatientAdmission<Held>;
	readonly failureDomain: string;

	constructor(service: SimulatedService, copy: number, {random, daemons, domainCount, loadBalancing, countsOutcomes}: HostOptions) {
		this.name = `${service.name}-${copy}`;
		this.service = service;
		this.copy = copy;
		this.failureDomain = `d${copy % domainCount}`;
		this.loadBalancer = new LoadBalancer(this.failureDomain, {...LOAD_BALANCING, ...loadBalancing}, () => random.next());
		this.loadShedder = new LoadShedder(this.name, countsOutcomes);
		this.patientAdmission = new PatientAdmission(HELD_BYTES, () => random.next());
		this.retryBudget = new RetryBudget({ratio: 0.2, slack: 48, windowMs: 10_000});
		this.retryBudget.setDaemonCount(daemons);
		this.admissionQueue = new AdmissionQueue(usableSlots(service.slots));
	}

	report(route: string): LoadReport {
		return {
			running: this.admissionQueue.running, queued: this.admissionQueue.queued, limit: this.admissionQueue.concurrency, serviceMs: this.serviceTimes.knownMs(route),
		};
	}
}

/** Simulates the decisions of all daemons under load in virtual time, without a network or processes. */
export class LoadSimulation {
	readonly tallies = new Map<string, RouteTally>();
	/** Counts by service the calls that reached a target, and how many of them may repeat an earlier run. */
	readonly arrivals = new Map<string, {all: number; again: number}>();
	/** Counts by instance the calls that reached it while it named a rate limit. */
	readonly limitedArrivals = new Map<string, number>();
	/** The calls that left their failure domain. */
	crossings = 0;
	readonly #options: LoadSimulationOptions;
	readonly #random: Random;
	readonly #scheduler = new Scheduler(0);
	readonly #hosts: Host[] = [];
	readonly #hostsByName = new Map<string, Host>();
	readonly #hostTable = new HostTable(2000);
	readonly #routes: Map<string, SimulatedRoute>;
	readonly #upstreamCounts: Map<string, number>;
	#nextId = 0;

	constructor(options: LoadSimulationOptions) {
		this.#options = options;
		this.#random = new Random(options.seed);
		this.#routes = new Map(options.routes.map(load => [load.route.name, load]));
		this.#upstreamCounts = new Map(options.services.map(({name, speeds}) => [name, speeds.length]));
		const daemons = options.services.reduce((sum, {speeds}) => sum + speeds.length, 0);
		for (const service of options.services) {
			for (const copy of service.speeds.keys()) {
				const host = new Host(service, copy, {
					random: this.#random, daemons, domainCount: options.domainCount ?? 1, loadBalancing: options.overrides?.loadBalancing, countsOutcomes: options.overrides?.waitsForFaults === 'by-reports',
				});
				this.#hosts.push(host);
				this.#hostsByName.set(host.name, host);
				this.#hostTable.put(entryOf(host), 1);
			}
		}
	}

	run(): this {
		for (const load of this.#options.routes.filter(({requestsPerS: perS}) => perS > 0)) {
			this.tallies.set(load.route.name, {
				requests: 0, inTime: 0, late: 0, refused: 0, failed: 0,
			});
			this.#scheduleArrival(load);
		}

		this.#scheduleHousekeeping();
		this.#scheduler.runUntil(this.#options.durationMs);
		return this;
	}

	get #nowMs(): number {
		return this.#scheduler.nowMs;
	}

	#scheduleArrival(load: SimulatedRoute): void {
		const surge = this.#activeFault('surge')?.factor ?? 1;
		this.#scheduler.schedule(-Math.log(1 - this.#random.next()) * 1000 / (load.requestsPerS * surge), () => {
			this.tallies.get(load.route.name)!.requests++;
			this.#attempt(load, this.#nowMs, 1);
			this.#scheduleArrival(load);
		});
	}

	// Makes one attempt of a client, which may retry `retriesLeft` more times.
	#attempt(load: SimulatedRoute, firstMs: number, retriesLeft: number): void {
		const tally = this.tallies.get(load.route.name)!;
		const host = this.#random.pick(this.#hosts);
		const {route} = load;
		const routedService = {route: route.name, service: route.destinations[0].service};
		const id = `a${this.#nextId++}`;
		const clientEndMs = firstMs + load.deadlineMs;
		const endMs = Math.min(clientEndMs, this.#nowMs + route.timeoutMs);
		const startedMs = this.#nowMs;
		const onEnd = (outcome: Outcome, afterMs?: number) => {
			if (outcome === 'served') {
				host.patientAdmission.recordAnswer(route.name, this.#nowMs - startedMs);
				tally[this.#nowMs - firstMs <= route.objectiveMs ? 'inTime' : 'late']++;
				return;
			}

			const isAgain = retriesLeft > 0 && this.#nowMs < clientEndMs && (outcome === 'refused' || route.repeatability === 'safe');
			if (!isAgain) {
				tally[outcome]++;
				return;
			}

			const waitMs = outcome === 'refused' ? afterMs ?? chooseRetryAfterMs('overload', clientEndMs - this.#nowMs, () => this.#random.next()) : 0;
			this.#scheduler.schedule(waitMs, () => {
				this.#attempt(load, firstMs, retriesLeft - 1);
			});
		};

		const start = () => {
			const priority = host.loadShedder.priorityOf(routedService, route.rank, id, this.#nowMs);
			if ((this.#options.overrides?.shedsByFloors ?? true) && !host.loadShedder.isAdmitted(priority)) {
				onEnd('refused');
				return;
			}

			this.#send({
				id, load, host, priority, isNested: false, isForRetriedRun: false, endMs, objectiveEndMs: firstMs + route.objectiveMs,
			}, ({outcome}) => {
				onEnd(outcome);
			});
		};

		const act = (heldSinceMs: number) => {
			const heldMs = this.#nowMs - heldSinceMs;
			const request = this.#describe(load, host, clientEndMs - this.#nowMs, heldMs);
			const decision = this.#decide(request, host);
			const isHeld = decision.action === 'hold' && host.patientAdmission.hold({
				kind: route.name,
				rank: route.rank,
				lastStartMs: decision.lastStartMs,
				sizeBytes: 0,
				start() {
					act(startedMs);
				},
			});
			const ending = decision.action === 'hold' ? host.patientAdmission.turnBack(request, this.#nowMs) : decision;
			if (!isHeld && ending.action === 'return') {
				onEnd('refused', ending.afterMs);
			} else if (!isHeld) {
				start();
			}
		};

		act(this.#nowMs);
	}

	#describe(load: SimulatedRoute, host: Host, leftMs: number, heldMs: number): PatientRequest {
		const {name, timeoutMs} = load.route;
		return {
			kind: name, route: name, leftMs, timeoutMs, heldMs, chance: this.#chanceOf(host, load),
		};
	}

	#decide(request: PatientRequest, {patientAdmission}: Host): WaitDecision {
		return (this.#options.overrides?.waitsForFaults ?? 'no') === 'no' ? {action: 'start'} : patientAdmission.decide(request, this.#nowMs);
	}

	// The oracle knows at each moment which share of the calls is turned away, and how many a request needs.
	#chanceOf(host: Host, load: SimulatedRoute): number {
		if (this.#options.overrides?.waitsForFaults === 'by-reports') {
			return host.loadShedder.chanceOf({route: load.route.name, service: load.route.destinations[0].service}, service => this.#upstreamCounts.get(service)!, this.#nowMs);
		}

		const shed = this.#activeFault('shed');
		return shed === undefined ? 1 : (1 - shed.share) ** this.#countCalls(load, shed.service);
	}

	#countCalls({route, nestedRoutes}: SimulatedRoute, service: string): number {
		return nestedRoutes.reduce((sum, name) => sum + this.#countCalls(this.#routes.get(name)!, service), route.destinations[0].service === service ? 1 : 0);
	}

	#send(outgoing: OutgoingCall, onAnswer: (answer: Answer) => void): void {
		const {load: {route}, host, priority} = outgoing;
		const {service} = route.destinations[0];
		const attempts = new Attempts({
			hosts: this.#hostTable, loadBalancer: host.loadBalancer, retryBudget: host.retryBudget, targetSignals: new TargetSignalTable(0), hasCrashed: () => false, onTargetSignals: () => undefined, onBudget: () => undefined,
		}, {
			attemptId: outgoing.id, route, service, isForRetriedRun: outgoing.isForRetriedRun, level: this.#options.overrides?.spendsRetriesByPriority === false ? MAX_FLOOR : priority.level,
		}, outgoing.endMs);
		const routedService = {route: route.name, service};
		const place = (): boolean => {
			const chosen = attempts.chooseNextHost(this.#nowMs);
			if (chosen === undefined) {
				return false;
			}

			const {host: name} = (this.#options.overrides?.usesLoadBalancing ?? true) ? chosen : this.#random.pick(this.#hostTable.serving(service));
			const owner = this.#hostsByName.get(name)!;
			this.crossings += owner.failureDomain === host.failureDomain ? 0 : 1;
			this.#scheduler.schedule(LINK_MS, () => {
				this.#admit(owner, outgoing, attempts.mayBeDuplicate, answer => {
					this.#scheduler.schedule(LINK_MS, () => {
						host.loadBalancer.onEnded(chosen.host);
						host.loadBalancer.onReport(chosen.host, route.name, answer.report, this.#nowMs);
						host.loadShedder.recordFloorReports(owner.loadShedder.reports(this.#nowMs), this.#nowMs);
						host.loadShedder.recordReached(routedService, answer.reached);
						const wasShed = answer.reason === 'shed-by-target';
						host.loadBalancer.onOutcome(chosen.host, wasShed, this.#nowMs);
						const isAgain = answer.outcome === 'refused' && attempts.mayTryAnotherHost({isForLoad: true, reachedTarget: wasShed}, this.#nowMs) && place();
						if (!isAgain) {
							onAnswer(answer);
						}
					});
				});
			});
			return true;
		};

		place();
	}

	#admit(owner: Host, outgoing: OutgoingCall, mayBeDuplicate: boolean, onAnswer: (answer: Answer) => void): void {
		const {load, priority, isNested, endMs, objectiveEndMs, id} = outgoing;
		const serviceMs = owner.serviceTimes.expectedMs(load.route.name);
		const call: SimulatedCall = {
			id, load, priority, isNested, deadlineMs: endMs, objectiveEndMs, serviceMs, deviationMs: owner.serviceTimes.deviationMs(load.route.name), mayBeDuplicate, onAnswer, startedMs: 0, nestedMs: 0,
		};
		owner.loadShedder.onArrival(priority, serviceMs, endMs - this.#nowMs);
		const {verdict, evicted} = owner.admissionQueue.admit(call, this.#nowMs);
		this.#updateFloor(owner);
		for (const other of evicted) {
			this.#answer(owner, other, 'refused', 'evicted');
		}

		if (verdict === 'run') {
			this.#start(owner, call);
		} else if (verdict !== 'wait') {
			this.#answer(owner, call, 'refused', verdict);
		}
	}

	#start(owner: Host, call: SimulatedCall): void {
		const {load, mayBeDuplicate} = call;
		const {name, speeds} = owner.service;
		call.startedMs = this.#nowMs;
		const count = this.arrivals.get(name) ?? {all: 0, again: 0};
		count.all++;
		count.again += mayBeDuplicate ? 1 : 0;
		this.arrivals.set(name, count);
		if (Number.isFinite(owner.admissionQueue.ratePerS)) {
			this.limitedArrivals.set(owner.name, (this.limitedArrivals.get(owner.name) ?? 0) + 1);
		}

		const shed = this.#activeFault('shed');
		if (shed?.service === name && this.#random.chance(shed.share)) {
			this.#scheduler.schedule(SHED_MS, () => {
				this.#end(owner, call, 'refused', 'shed-by-target');
			});
			return;
		}

		const factor = this.#slownessOf(owner);
		this.#scheduler.schedule(load.workMs * factor * this.#random.between(0.5, 1.5) / speeds[owner.copy], () => {
			this.#callNested(owner, call, 0);
		});
	}

	#callNested(owner: Host, call: SimulatedCall, step: number): void {
		const name = call.load.nestedRoutes[step];
		if (name === undefined || this.#nowMs >= call.deadlineMs) {
			this.#end(owner, call, this.#nowMs < call.deadlineMs ? 'served' : 'failed', name === undefined ? 'done' : 'late');
			return;
		}

		const load = this.#routes.get(name)!;
		const sentMs = this.#nowMs;
		this.#send({
			id: `${call.id}.${step}`, load, host: owner, priority: call.priority, isNested: true, isForRetriedRun: call.mayBeDuplicate, endMs: Math.min(call.deadlineMs, this.#nowMs + load.deadlineMs), objectiveEndMs: call.objectiveEndMs!,
		}, ({outcome, reached}) => {
			call.nestedMs += this.#nowMs - sentMs;
			owner.loadShedder.onNestedCall(call.id, {route: call.load.route.name, service: owner.service.name}, reached);
			if (outcome === 'served') {
				this.#callNested(owner, call, step + 1);
			} else {
				this.#end(owner, call, 'failed', 'below');
			}
		});
	}

	#end(owner: Host, call: SimulatedCall, outcome: Outcome, reason: string): void {
		const spentMs = this.#nowMs - call.startedMs;
		owner.loadShedder.onRunEnded(call.id, {route: call.load.route.name, service: owner.service.name}, RUN_OUTCOMES[reason] ?? 'lost', this.#nowMs);
		if (outcome === 'served') {
			owner.serviceTimes.record(call.load.route.name, spentMs);
			if (owner.targetSpeed.record(call.load.route.name, spentMs - call.nestedMs, this.#nowMs)) {
				this.#shareSlowness(owner);
			}
		}

		owner.admissionQueue.release(spentMs, outcome === 'served');
		this.#answer(owner, call, outcome, reason);
		this.#startQueued(owner);
	}

	#startQueued(owner: Host): void {
		for (let next = owner.admissionQueue.dequeue(this.#nowMs); next !== undefined; next = owner.admissionQueue.dequeue(this.#nowMs)) {
			if (next.expired) {
				this.#answer(owner, next.call, 'refused', 'expired');
			} else {
				this.#start(owner, next.call);
			}
		}
	}

	#shareSlowness(owner: Host): void {
		const {slowness} = owner.targetSpeed;
		if (this.#options.overrides?.sharesSlowness ?? true) {
			this.#scheduler.schedule(GOSSIP_MS, () => {
				for (const {loadBalancer} of this.#hosts) {
					loadBalancer.onSlowness(owner.name, slowness, this.#nowMs);
				}
			});
		}
	}

	#answer(owner: Host, call: SimulatedCall, outcome: Outcome, reason: string): void {
		const {name} = owner.service;
		const {name: route} = call.load.route;
		call.onAnswer({
			outcome, reason, report: owner.report(route), reached: [name, ...owner.loadShedder.reachedServices({route, service: name}).filter(service => service !== name)],
		});
	}

	#updateFloor(owner: Host): void {
		owner.loadShedder.updateFloor(owner.service.name, {
			limit: owner.admissionQueue.limit,
			queuedWorkMs: level => owner.admissionQueue.queuedWorkMs(level),
			isSaturated: owner.admissionQueue.running >= owner.admissionQueue.limit,
		}, this.#nowMs);
	}

	#updateRateLimit({service, copy, admissionQueue}: Host): void {
		const limits = this.#options.faults.filter((fault): fault is Extract<LoadFault, {kind: 'limit'}> => fault.kind === 'limit' && this.#isActive(fault));
		admissionQueue.setRateLimit(limits.find(fault => fault.service === service.name && fault.copy === copy)?.perS, this.#nowMs);
	}

	#scheduleHousekeeping(): void {
		this.#scheduler.schedule(HOUSEKEEPING_MS, () => {
			for (const owner of this.#hosts) {
				this.#updateFloor(owner);
				this.#updateRateLimit(owner);
				for (const call of owner.admissionQueue.removeExpired(this.#nowMs)) {
					this.#answer(owner, call, 'refused', 'expired');
				}

				this.#startQueued(owner);
				for (const held of owner.patientAdmission.release(kind => this.#chanceOf(owner, this.#routes.get(kind)!), this.#nowMs)) {
					held.start();
				}
			}

			this.#scheduleHousekeeping();
		});
	}

	#slownessOf({service, copy}: Host): number {
		const slow = this.#options.faults.find((fault): fault is Extract<LoadFault, {kind: 'slow'}> => fault.kind === 'slow' && fault.service === service.name && this.#isActive(fault)
			&& (fault.copy === copy || (fault.every !== undefined && copy % fault.every === 0)));
		return slow?.factor ?? 1;
	}

	#isActive({fromMs, untilMs}: LoadFault): boolean {
		return this.#nowMs >= fromMs && this.#nowMs < untilMs;
	}

	#activeFault<Kind extends LoadFault['kind']>(kind: Kind): Extract<LoadFault, {kind: Kind}> | undefined {
		return this.#options.faults.find((fault): fault is Extract<LoadFault, {kind: Kind}> => fault.kind === kind && this.#isActive(fault));
	}
}

function entryOf({name, service, failureDomain}: Host): HostEntry {
	return {
		host: name,
		failureDomain,
		address: '',
		target: {
			id: name, service: service.name, slots: service.slots, state: 'ready',
		},
	};
}
