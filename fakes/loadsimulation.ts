import {MAX_FLOOR} from '../src/core/index.js';
import {
	Attempts, AdmissionQueue, type QueuedCall, type HostEntry, HostTable, type LoadReport, LOAD_BALANCING, LoadBalancer, RetryBudget, type Route, ServiceTimes, LoadShedder, type Priority, chooseRetryAfterMs, usableSlots,
} from '../src/mesh/index.js';
import {Random} from './random.js';
import {Scheduler} from './scheduler.js';

/** One way between two hosts, in ms. */
const LINK_MS = 0.7;
/** A target's word that it is full, in ms. */
const SHED_MS = 1;
const HOUSEKEEPING_MS = 50;

/** A service as the load sees it; one speed for each copy, 1: as told. */
export type SimulatedService = {readonly name: string; readonly slots: number; readonly speeds: readonly number[]};
/** A kind of request, how often it comes from clients, and the routes that its run calls, one after the other. */
export type SimulatedRoute = {
	readonly route: Route;
	readonly requestsPerS: number;
	readonly workMs: number;
	readonly deadlineMs: number;
	readonly nestedRoutes: readonly string[];
};
/** What is wrong for a while. */
export type LoadFault = {readonly fromMs: number; readonly untilMs: number} & (
	/** So many times the clients' requests. */
	| {readonly kind: 'surge'; readonly factor: number}
	/** All copies turn a share of their calls away, unrun. */
	| {readonly kind: 'shed'; readonly service: string; readonly share: number}
	/** One copy works so many times as long. */
	| {readonly kind: 'slow'; readonly service: string; readonly copy: number; readonly factor: number}
);
/** What is decided otherwise, to show what a decision is worth. */
export type LoadOverrides = {
	/** Whether roots are refused by the floors of deeper services. */
	readonly shedsByFloors?: boolean;
	/** Whether second sends go by the standing of the root. */
	readonly spendsRetriesByPriority?: boolean;
	/** Whether calls go where they are expected to take least. */
	readonly usesLoadBalancing?: boolean;
};
export type LoadSimulationOptions = {
	readonly services: readonly SimulatedService[];
	readonly routes: readonly SimulatedRoute[];
	readonly faults: readonly LoadFault[];
	readonly durationMs: number;
	readonly seed: number;
	readonly overrides?: LoadOverrides;
};
/** What became of the clients' requests of one route. */
export type RouteTally = {requests: number; inTime: number; late: number; refused: number; failed: number};

type Outcome = 'served' | 'refused' | 'failed';
type Answer = {readonly outcome: Outcome; readonly reason: string; readonly report: LoadReport; readonly reached: readonly string[]};
type Waiting = QueuedCall & {readonly id: string; readonly load: SimulatedRoute; readonly isRepeat: boolean; readonly answer: (answer: Answer) => void; startedMs: number};
type Errand = {readonly id: string; readonly load: SimulatedRoute; readonly host: Host; readonly standing: Priority; readonly isNested: boolean; readonly isRepeat: boolean; readonly endMs: number};

class Host {
	readonly name: string;
	readonly service: SimulatedService;
	readonly copy: number;
	readonly placement: LoadBalancer;
	readonly shedding: LoadShedder;
	readonly budget: RetryBudget;
	readonly gate: AdmissionQueue<Waiting>;
	readonly times = new ServiceTimes();

	constructor(service: SimulatedService, copy: number, random: Random, daemons: number) {
		this.name = `${service.name}-${copy}`;
		this.service = service;
		this.copy = copy;
		this.placement = new LoadBalancer('a', LOAD_BALANCING, () => random.next());
		this.shedding = new LoadShedder(this.name);
		this.budget = new RetryBudget({ratio: 0.2, slack: 48, windowMs: 10_000});
		this.budget.setDaemonCount(daemons);
		this.gate = new AdmissionQueue(usableSlots(service.slots));
	}

	report(route: string): LoadReport {
		return {
			running: this.gate.running, queued: this.gate.queued, limit: this.gate.limit, serviceMs: this.times.knownMs(route),
		};
	}
}

/** The decisions of all daemons under a load, in virtual time: no network, no processes. */
export class LoadSimulation {
	readonly tallies = new Map<string, RouteTally>();
	/** Calls that reached a target, and those of them that weren't the first of their request, by service. */
	readonly arrivals = new Map<string, {all: number; again: number}>();
	readonly #options: LoadSimulationOptions;
	readonly #random: Random;
	readonly #time = new Scheduler(0);
	readonly #hosts: Host[] = [];
	readonly #table = new HostTable(2000);
	readonly #routes: Map<string, SimulatedRoute>;
	#nextId = 0;

	constructor(options: LoadSimulationOptions) {
		this.#options = options;
		this.#random = new Random(options.seed);
		this.#routes = new Map(options.routes.map(load => [load.route.name, load]));
		const daemons = options.services.reduce((sum, {speeds}) => sum + speeds.length, 0);
		for (const service of options.services) {
			for (const copy of service.speeds.keys()) {
				const host = new Host(service, copy, this.#random, daemons);
				this.#hosts.push(host);
				this.#table.put(entryOf(host), 1);
			}
		}
	}

	run(): this {
		for (const load of this.#options.routes.filter(({requestsPerS: perS}) => perS > 0)) {
			this.tallies.set(load.route.name, {
				requests: 0, inTime: 0, late: 0, refused: 0, failed: 0,
			});
			this.#arrive(load);
		}

		this.#keepHouse();
		this.#time.runUntil(this.#options.durationMs);
		return this;
	}

	get #nowMs(): number {
		return this.#time.nowMs;
	}

	#arrive(load: SimulatedRoute): void {
		const surge = this.#trouble('surge')?.factor ?? 1;
		this.#time.schedule(-Math.log(1 - this.#random.next()) * 1000 / (load.requestsPerS * surge), () => {
			this.tallies.get(load.route.name)!.requests++;
			this.#ask(load, this.#nowMs, 1);
			this.#arrive(load);
		});
	}

	// One attempt of a client; `returns` says how often it may still come back.
	#ask(load: SimulatedRoute, firstMs: number, returns: number): void {
		const tally = this.tallies.get(load.route.name)!;
		const host = this.#random.pick(this.#hosts);
		const {route} = load;
		const way = {route: route.name, service: route.destinations[0].service};
		const id = `a${this.#nextId++}`;
		const endMs = firstMs + Math.min(load.deadlineMs, route.timeoutMs);
		const standing = host.shedding.priorityOf(way, route.rank, id, this.#nowMs);
		const onEnd = (outcome: Outcome) => {
			if (outcome === 'served') {
				tally[this.#nowMs - firstMs <= route.objectiveMs ? 'inTime' : 'late']++;
				return;
			}

			const isAgain = returns > 0 && this.#nowMs < endMs && (outcome === 'refused' || route.repeatability === 'safe');
			if (!isAgain) {
				tally[outcome]++;
				return;
			}

			const waitMs = outcome === 'refused' ? chooseRetryAfterMs('overload', endMs - this.#nowMs, firstMs + route.objectiveMs - this.#nowMs, () => this.#random.next()) : 0;
			this.#time.schedule(waitMs, () => {
				this.#ask(load, firstMs, returns - 1);
			});
		};

		if ((this.#options.overrides?.shedsByFloors ?? true) && !host.shedding.isAdmitted(standing)) {
			onEnd('refused');
			return;
		}

		this.#send({
			id, load, host, standing, isNested: false, isRepeat: false, endMs,
		}, ({outcome}) => {
			onEnd(outcome);
		});
	}

	#send(errand: Errand, onAnswer: (answer: Answer) => void): void {
		const {load: {route}, host, standing} = errand;
		const {service} = route.destinations[0];
		const attempts = new Attempts({
			hosts: this.#table, loadBalancer: host.placement, retryBudget: host.budget, onBudget: () => undefined,
		}, {
			attemptId: errand.id, route, service, isForRetriedRun: errand.isRepeat, level: this.#options.overrides?.spendsRetriesByPriority === false ? MAX_FLOOR : standing.level,
		}, {deadlineMs: errand.endMs, objectiveEndMs: this.#nowMs + route.objectiveMs});
		const way = {route: route.name, service};
		const place = (): boolean => {
			const chosen = attempts.chooseNextHost(this.#nowMs);
			if (chosen === undefined) {
				return false;
			}

			const {host: name} = (this.#options.overrides?.usesLoadBalancing ?? true) ? chosen : this.#random.pick(this.#table.serving(service));
			const owner = this.#hosts.find(one => one.name === name)!;
			this.#time.schedule(LINK_MS, () => {
				this.#offer(owner, errand, attempts.mayBeDuplicate, answer => {
					this.#time.schedule(LINK_MS, () => {
						host.placement.onEnded(chosen.host);
						host.placement.onReport(chosen.host, route.name, answer.report, this.#nowMs);
						host.shedding.recordFloorReports(owner.shedding.reports(this.#nowMs), this.#nowMs);
						host.shedding.recordReached(way, answer.reached);
						const wasShed = answer.reason === 'shed-by-target';
						host.placement.onOutcome(chosen.host, wasShed, this.#nowMs);
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

	#offer(owner: Host, errand: Errand, isRepeat: boolean, answer: (answer: Answer) => void): void {
		const {load, standing, isNested, endMs, id} = errand;
		const serviceMs = owner.times.expectedMs(load.route.name);
		const waiting: Waiting = {
			id, load, priority: standing, isNested, deadlineMs: endMs, serviceMs, isRepeat, answer, startedMs: 0,
		};
		owner.shedding.onArrival(standing, serviceMs);
		const {verdict, evicted} = owner.gate.admit(waiting, this.#nowMs);
		this.#updateFloor(owner);
		if (evicted !== undefined) {
			this.#answer(owner, evicted, 'refused', 'evicted');
		}

		if (verdict === 'run') {
			this.#start(owner, waiting);
		} else if (verdict !== 'wait') {
			this.#answer(owner, waiting, 'refused', verdict);
		}
	}

	#start(owner: Host, call: Waiting): void {
		const {load, isRepeat} = call;
		const {name, speeds} = owner.service;
		call.startedMs = this.#nowMs;
		const count = this.arrivals.get(name) ?? {all: 0, again: 0};
		count.all++;
		count.again += isRepeat ? 1 : 0;
		this.arrivals.set(name, count);
		const shed = this.#trouble('shed');
		if (shed?.service === name && this.#random.chance(shed.share)) {
			this.#time.schedule(SHED_MS, () => {
				this.#end(owner, call, 'refused', 'shed-by-target');
			});
			return;
		}

		const slow = this.#trouble('slow');
		const factor = slow?.service === name && slow.copy === owner.copy ? slow.factor : 1;
		this.#time.schedule(load.workMs * factor * this.#random.between(0.5, 1.5) / speeds[owner.copy], () => {
			this.#callDeeper(owner, call, 0);
		});
	}

	#callDeeper(owner: Host, call: Waiting, step: number): void {
		const name = call.load.nestedRoutes[step];
		if (name === undefined || this.#nowMs >= call.deadlineMs) {
			this.#end(owner, call, this.#nowMs < call.deadlineMs ? 'served' : 'failed', 'done');
			return;
		}

		const load = this.#routes.get(name)!;
		this.#send({
			id: `${call.id}.${step}`, load, host: owner, standing: call.priority, isNested: true, isRepeat: call.isRepeat, endMs: Math.min(call.deadlineMs, this.#nowMs + load.deadlineMs),
		}, ({outcome, reached}) => {
			owner.shedding.recordReached({route: call.load.route.name, service: owner.service.name}, reached);
			if (outcome === 'served') {
				this.#callDeeper(owner, call, step + 1);
			} else {
				this.#end(owner, call, 'failed', 'below');
			}
		});
	}

	#end(owner: Host, call: Waiting, outcome: Outcome, reason: string): void {
		const spentMs = this.#nowMs - call.startedMs;
		if (outcome === 'served') {
			owner.times.record(call.load.route.name, spentMs);
		}

		owner.gate.release(spentMs);
		this.#answer(owner, call, outcome, reason);
		for (let next = owner.gate.dequeue(this.#nowMs); next !== undefined; next = owner.gate.dequeue(this.#nowMs)) {
			if (next.expired) {
				this.#answer(owner, next.call, 'refused', 'expired');
			} else {
				this.#start(owner, next.call);
			}
		}
	}

	#answer(owner: Host, call: Waiting, outcome: Outcome, reason: string): void {
		const {name} = owner.service;
		const {name: route} = call.load.route;
		call.answer({
			outcome, reason, report: owner.report(route), reached: [name, ...owner.shedding.reachedServices({route, service: name})],
		});
	}

	#updateFloor(owner: Host): void {
		owner.shedding.updateFloor(owner.service.name, {
			limit: owner.gate.limit,
			queuedWorkMs: level => owner.gate.queuedWorkMs(level),
			isSaturated: owner.gate.running >= owner.gate.limit,
		}, this.#nowMs);
	}

	#keepHouse(): void {
		this.#time.schedule(HOUSEKEEPING_MS, () => {
			for (const owner of this.#hosts) {
				this.#updateFloor(owner);
				for (const call of owner.gate.removeExpired(this.#nowMs)) {
					this.#answer(owner, call, 'refused', 'expired');
				}
			}

			this.#keepHouse();
		});
	}

	#trouble<Kind extends LoadFault['kind']>(kind: Kind): Extract<LoadFault, {kind: Kind}> | undefined {
		return this.#options.faults.find((trouble): trouble is Extract<LoadFault, {kind: Kind}> => trouble.kind === kind && this.#nowMs >= trouble.fromMs && this.#nowMs < trouble.untilMs);
	}
}

function entryOf({name, service}: Host): HostEntry {
	return {
		host: name,
		failureDomain: 'a',
		address: '',
		target: {
			id: name, service: service.name, slots: service.slots, state: 'ready',
		},
	};
}
