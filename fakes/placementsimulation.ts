import {
	type HostEntry, Knee, LOAD_BALANCING, LoadBalancer, type LoadReport, ServiceTimes, TargetSpeed,
} from '../src/mesh/index.js';
import {Random} from './random.js';
import {Scheduler} from './scheduler.js';

const SERVICE = 'service';
/** The one-way delay within a failure domain and between two, in ms. */
const NEAR_MS = 0.2;
const FAR_MS = 0.7;
/** The time in which a failing target sheds a call, in ms. */
const SHED_MS = 1;
/** The interval at which the speeds of the machines change, in ms. */
const NOISE_INTERVAL_MS = 600;
/** How many targets may shed a call before it fails. */
const MAX_SHEDS = 3;
/** Calls before this time aren't counted, in ms. */
const SETTLING_MS = 5000;

/** How daemons choose targets: the daemons' own load balancer, or a baseline. */
export type PlacementPolicy = 'round-robin' | 'least-in-flight' | 'two-choices' | 'load-balancer' | 'perfect';
export const PLACEMENT_POLICIES: readonly PlacementPolicy[] = ['round-robin', 'least-in-flight', 'two-choices', 'load-balancer', 'perfect'];

/** An uneven load of one service. */
export type PlacementScenario = {
	readonly name: string;
	readonly targets: number;
	readonly daemons: number;
	readonly domainCount: number;
	readonly slots: number;
	readonly workMs: number;
	/** Work of each kind of request as a share of `workMs`, all equally frequent; one kind unless set. */
	readonly kinds?: readonly number[];
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	/** Demand as a share of what all targets can serve. */
	readonly demand: number;
	/** Speeds of the copies, in turn. */
	readonly speeds: readonly number[];
	/** Speeds of the failure domains; all alike unless set. */
	readonly domainSpeeds?: readonly number[];
	/** Share of the machines that are slowed down at any moment, by `noiseFactor`. */
	readonly noiseShare?: number;
	readonly noiseFactor?: number;
	/** How much the demand of each domain swings around its mean, and the period in ms; the domains peak one after the other. */
	readonly waveSwing?: number;
	readonly wavePeriodMs?: number;
	/** Share of the targets that start cold at 8 s: three times slower, for 5 s. */
	readonly coldShare?: number;
	/** Whether those targets join at that time, rather than being there before. */
	readonly coldOnesJoin?: boolean;
	/** Number of targets that shed this share of their calls at once. */
	readonly sheddingTargets?: number;
	readonly shedShare?: number;
	/** Factor by which a target is slower when more than 0.85 of its slots are in use. */
	readonly fullFactor?: number;
	/** Whether owners find the concurrency from which their target is slower. */
	readonly findsKnee?: boolean;
};

/** What callers of a run saw. */
export type PlacementResult = {
	readonly inTimeShare: number; readonly p50Ms: number; readonly p99Ms: number;
	/** Share of the slot time spent on calls whose deadline had passed when they ended. */
	readonly wastedShare: number;
	readonly crossingShare: number; readonly shedShare: number;
};

type Arrival = {readonly daemon: number; readonly arrivedMs: number; readonly kind: number};
type PlacedCall = Arrival & {readonly target: Target; startedMs: number};
type Target = {
	readonly index: number; readonly entry: HostEntry; readonly speed: number; readonly queue: PlacedCall[]; readonly times: ServiceTimes; readonly targetSpeed: TargetSpeed;
	readonly knee: Knee;
	/** Times of runs over the claimed load of the machine. */
	readonly bases: ServiceTimes;
	running: number; isNoisy: boolean;
};

/** Places the calls of one service in virtual time, with one of several policies. */
export class PlacementSimulation {
	readonly #scenario: PlacementScenario;
	readonly #policy: PlacementPolicy;
	readonly #random: Random;
	readonly #scheduler = new Scheduler(0);
	readonly #targets: Target[];
	readonly #entries: readonly HostEntry[];
	readonly #balancers: LoadBalancer[];
	readonly #inFlight: number[][];
	readonly #reports: Array<Map<number, LoadReport>>;
	readonly #turns: number[];
	readonly #latenciesMs: number[] = [];
	#calls = 0;
	#inTime = 0;
	#crossings = 0;
	#sheds = 0;
	#slotMs = 0;
	#wastedMs = 0;

	constructor(scenario: PlacementScenario, policy: PlacementPolicy, seed: number) {
		this.#scenario = scenario;
		this.#policy = policy;
		this.#random = new Random(seed);
		const {targets, daemons, domainCount, slots, speeds} = scenario;
		this.#targets = Array.from({length: targets}, (_, index): Target => ({
			index,
			entry: {
				host: `h${index}`, failureDomain: `d${index % domainCount}`, address: '', target: {
					id: `t${index}`, service: SERVICE, slots, state: 'ready',
				},
			},
			speed: speeds[Math.floor(index / domainCount) % speeds.length] * (scenario.domainSpeeds?.[index % domainCount] ?? 1),
			queue: [],
			times: new ServiceTimes(),
			targetSpeed: new TargetSpeed(),
			knee: new Knee(),
			bases: new ServiceTimes(),
			running: 0,
			isNoisy: false,
		}));
		this.#entries = this.#targets.map(({entry}) => entry);
		this.#balancers = Array.from({length: daemons}, (_, index) => new LoadBalancer(`d${index % domainCount}`, LOAD_BALANCING, () => this.#random.next()));
		this.#inFlight = this.#balancers.map(() => Array.from({length: targets}, () => 0));
		this.#reports = this.#balancers.map(() => new Map<number, LoadReport>());
		this.#turns = this.#balancers.map(() => this.#random.below(targets));
	}

	run(durationMs: number): PlacementResult {
		this.#changeNoise();
		for (let domain = 0; domain < this.#scenario.domainCount; domain++) {
			this.#scheduleArrival(domain);
		}

		this.#scheduler.runUntil(durationMs);
		const sorted = this.#latenciesMs.toSorted((a, b) => a - b);
		const at = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
		return {
			inTimeShare: this.#inTime / this.#latenciesMs.length,
			p50Ms: at(0.5),
			p99Ms: at(0.99),
			wastedShare: this.#wastedMs / this.#slotMs,
			crossingShare: this.#crossings / this.#calls,
			shedShare: this.#sheds / this.#calls,
		};
	}

	get #nowMs(): number {
		return this.#scheduler.nowMs;
	}

	#perS(domain: number): number {
		const {targets, slots, workMs, kinds = [1], demand, speeds, domainCount, waveSwing = 0, wavePeriodMs = 1} = this.#scenario;
		const meanWorkMs = workMs * kinds.reduce((sum, kind) => sum + kind, 0) / kinds.length;
		const meanSpeed = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
		const wave = 1 + (waveSwing * Math.sin(2 * Math.PI * ((this.#nowMs / wavePeriodMs) + (domain / domainCount))));
		return targets * slots * meanSpeed * 1000 / meanWorkMs * demand * wave / domainCount;
	}

	#scheduleArrival(domain: number): void {
		this.#scheduler.schedule(this.#random.exponential(1000 / this.#perS(domain)), () => {
			const {daemons, domainCount} = this.#scenario;
			const daemon = domain + (domainCount * this.#random.below(Math.floor((daemons - domain - 1) / domainCount) + 1));
			this.#place({daemon, arrivedMs: this.#nowMs, kind: this.#random.below(this.#scenario.kinds?.length ?? 1)}, []);
			this.#scheduleArrival(domain);
		});
	}

	#changeNoise(): void {
		const {noiseShare = 0} = this.#scenario;
		for (const target of this.#targets) {
			target.isNoisy = this.#random.chance(noiseShare);
		}

		this.#scheduler.schedule(NOISE_INTERVAL_MS, () => {
			this.#changeNoise();
		});
	}

	#place(arrival: Arrival, tried: readonly string[]): void {
		const {daemon} = arrival;
		const target = this.#choose(arrival, tried);
		const isFar = target.index % this.#scenario.domainCount !== daemon % this.#scenario.domainCount;
		this.#inFlight[daemon][target.index]++;
		this.#balancers[daemon].onSent(target.entry.host);
		this.#calls++;
		this.#crossings += isFar ? 1 : 0;
		this.#scheduler.schedule(isFar ? FAR_MS : NEAR_MS, () => {
			if (target.index < (this.#scenario.sheddingTargets ?? 0) && this.#random.chance(this.#scenario.shedShare ?? 0)) {
				this.#scheduler.schedule(SHED_MS, () => {
					this.#onShed(arrival, target, tried);
				});
				return;
			}

			target.queue.push({...arrival, target, startedMs: 0});
			this.#startQueued(target);
		});
	}

	#onShed(arrival: Arrival, target: Target, tried: readonly string[]): void {
		const {daemon, arrivedMs, kind} = arrival;
		this.#sheds++;
		target.targetSpeed.recordOutcome(true);
		this.#report(daemon, target, kind);
		this.#balancers[daemon].onOutcome(target.entry.host, true, this.#nowMs);
		if (tried.length < MAX_SHEDS) {
			this.#place(arrival, [...tried, target.entry.host]);
		} else if (arrivedMs > SETTLING_MS) {
			this.#latenciesMs.push(this.#scenario.deadlineMs);
		}
	}

	#factorOf({index, speed, isNoisy, running}: Target): number {
		const {noiseFactor = 1, coldShare = 0, fullFactor = 1, slots, targets} = this.#scenario;
		const isCold = index < coldShare * targets && this.#nowMs >= 8000 && this.#nowMs < 13_000;
		return (isNoisy ? noiseFactor : 1) * (isCold ? 3 : 1) * (running > 0.85 * slots ? fullFactor : 1) / speed;
	}

	#isAbsent(index: number): boolean {
		const {coldShare = 0, targets, coldOnesJoin = false} = this.#scenario;
		return coldOnesJoin && index < coldShare * targets && this.#nowMs < 8000;
	}

	#limitOf({knee}: Target): number {
		return Math.max(1, Math.floor(this.#scenario.slots * knee.share));
	}

	#startQueued(target: Target): void {
		const {workMs, deadlineMs} = this.#scenario;
		while (target.running < this.#limitOf(target) && target.queue.length > 0) {
			const call = target.queue.shift()!;
			if (this.#nowMs > call.arrivedMs + deadlineMs) {
				this.#finish(call, false);
				continue;
			}

			target.running++;
			call.startedMs = this.#nowMs;
			const load = target.running / this.#limitOf(target);
			const claim = target.isNoisy ? this.#scenario.noiseFactor ?? 1 : 1;
			this.#scheduler.schedule(workMs * (this.#scenario.kinds?.[call.kind] ?? 1) * this.#random.between(0.5, 1.5) * this.#factorOf(target), () => {
				target.running--;
				const spentMs = this.#nowMs - call.startedMs;
				if (this.#scenario.findsKnee === true) {
					target.knee.record(load, spentMs / claim / Math.max(1, target.bases.knownMs(routeOf(call.kind))), this.#nowMs);
				}

				target.bases.record(routeOf(call.kind), spentMs / claim);
				target.times.record(routeOf(call.kind), spentMs);
				target.targetSpeed.record(routeOf(call.kind), spentMs, this.#nowMs);
				target.targetSpeed.recordOutcome(false);
				const isLate = this.#nowMs > call.arrivedMs + deadlineMs;
				this.#slotMs += spentMs;
				this.#wastedMs += isLate ? spentMs : 0;
				this.#finish(call, !isLate);
				this.#startQueued(target);
			});
		}
	}

	#finish({daemon, target, arrivedMs, kind}: PlacedCall, isServed: boolean): void {
		this.#report(daemon, target, kind);
		this.#balancers[daemon].onOutcome(target.entry.host, false, this.#nowMs);
		if (arrivedMs > SETTLING_MS) {
			const latencyMs = isServed ? this.#nowMs - arrivedMs : this.#scenario.deadlineMs;
			this.#latenciesMs.push(latencyMs);
			this.#inTime += isServed && latencyMs <= this.#scenario.objectiveMs ? 1 : 0;
		}
	}

	#report(daemon: number, target: Target, kind: number): void {
		const route = routeOf(kind);
		const report: LoadReport = {
			running: target.running, queued: target.queue.length, limit: this.#limitOf(target), serviceMs: target.times.knownMs(route), failureShare: target.targetSpeed.failureShare,
		};
		this.#inFlight[daemon][target.index]--;
		this.#reports[daemon].set(target.index, report);
		this.#balancers[daemon].onEnded(target.entry.host);
		this.#balancers[daemon].onReport(target.entry.host, route, report, this.#nowMs);
	}

	#choose({daemon, kind}: Arrival, tried: readonly string[]): Target {
		const candidates = this.#targets.filter(({entry, index}) => !tried.includes(entry.host) && !this.#isAbsent(index));
		const inFlight = this.#inFlight[daemon];
		switch (this.#policy) {
			case 'round-robin': {
				this.#turns[daemon]++;
				return candidates[this.#turns[daemon] % candidates.length];
			}

			case 'least-in-flight': {
				return this.#lowest(candidates, ({index}) => inFlight[index]);
			}

			case 'two-choices': {
				return this.#lowest([this.#random.pick(candidates), this.#random.pick(candidates)], ({index}) => {
					const report = this.#reports[daemon].get(index);
					return Math.max((report?.running ?? 0) + (report?.queued ?? 0), inFlight[index]);
				});
			}

			case 'load-balancer': {
				const chosen = this.#balancers[daemon].choose(this.#entries, {route: routeOf(kind), leftMs: this.#scenario.deadlineMs, tried}, this.#nowMs, ({host}) => this.#isAbsent(Number(host.slice(1))))!;
				return this.#targets[Number(chosen.host.slice(1))];
			}

			case 'perfect': {
				const {workMs, slots, deadlineMs, domainCount, sheddingTargets = 0, shedShare = 0} = this.#scenario;
				return this.#lowest(candidates, target => {
					const ownMs = workMs * this.#factorOf(target);
					const waiting = Math.max(0, target.running + target.queue.length + 1 - slots);
					const crossingMs = target.index % domainCount === daemon % domainCount ? 0 : LOAD_BALANCING.crossDomainMs;
					return ownMs + (waiting * ownMs / slots) + crossingMs + (target.index < sheddingTargets ? shedShare * deadlineMs : 0);
				});
			}
		}
	}

	#lowest(targets: readonly Target[], costOf: (target: Target) => number): Target {
		let lowest = targets[0];
		let lowestCost = Number.POSITIVE_INFINITY;
		for (const target of targets) {
			const cost = costOf(target) + (this.#random.next() * 0.001);
			if (cost < lowestCost) {
				lowest = target;
				lowestCost = cost;
			}
		}

		return lowest;
	}
}

function routeOf(kind: number): string {
	return `r${kind}`;
}
