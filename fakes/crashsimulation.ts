import {
	type QuarantineNews, chooseByRendezvous, Quarantine, TrialSchedule, findSingleSuspect,
} from '../src/core/index.js';
import {Random} from './random.js';
import {Scheduler} from './scheduler.js';

/** What the fleet of a simulation is given to do. */
export type CrashSimulationOptions = {
	readonly seed: number;
	readonly targets: number;
	/** How long a target usually takes to crash by itself, in ms. */
	readonly meanUptimeMs: number;
	/** How often all targets crash at the same moment, in ms. */
	readonly jointCrashMs: number;
	/** The requests per second that nothing sends twice, except after a failure. */
	readonly uniquePerS: number;
	/** The requests per second with the same path and body, from many callers. */
	readonly popularPerS: number;
	/** The same for a path that is sent now and then, so that few targets remember it. */
	readonly knownPerS: number;
	/** The requests per second that crash the target; none if absent. */
	readonly deadlyPerS?: number;
	/** When those stop crashing targets, in ms. */
	readonly mendedAtMs?: number;
	/** How long news takes from one daemon to another at most, in ms. */
	readonly newsMs: number;
};

type Run = {readonly request: string; readonly attemptId: string; readonly startedMs: number; readonly tries: number; isLost: boolean};

export const POPULAR = 'popular';
export const KNOWN = 'known';
export const DEADLY = 'deadly';
const SERVICE_MS = 90;
const DEADLY_MS = 40;
const DOWN_MS = 3000;
const MAX_TRIES = 3;
const MAX_ANSWERED = 128;
const FIRST_HOLD_MS = 30_000;
const SUBJECT = {
	route: 'x', method: 'GET', path: '/x/', caller: 'front', attemptId: '',
};

/** One daemon with its target, as far as crashes concern them. */
class SimulatedOwner {
	readonly quarantine = new Quarantine(FIRST_HOLD_MS);
	readonly running = new Set<Run>();
	readonly schedule = new TrialSchedule();
	readonly waiting: Run[] = [];
	/** What waits for the end of a trial. */
	readonly paused: Run[] = [];
	isPaused = false;
	/** The last requests that the present start has answered. */
	readonly answered: string[] = [];
	onTrial: Run | undefined;
	isUp = true;
}

/** Targets that crash by themselves, or of one request, beside daemons with the real quarantine, in virtual time. */
export class CrashSimulation {
	/** Refusals of sound requests because of the quarantine, by the kind of request. */
	readonly refused = {
		[POPULAR]: 0, [KNOWN]: 0, [DEADLY]: 0, unique: 0,
	};

	/** When the deadly request crashed targets, in ms. */
	readonly deadlyCrashesMs: number[] = [];
	/** How long no target was up, in ms. */
	outageMs = 0;
	crashes = 0;
	trials = 0;
	deadlyServed = 0;
	readonly #options: CrashSimulationOptions;
	readonly #random: Random;
	readonly #scheduler = new Scheduler(0);
	readonly #owners: SimulatedOwner[];
	#nextId = 1;
	#outageFromMs: number | undefined;

	constructor(options: CrashSimulationOptions) {
		this.#options = options;
		this.#random = new Random(options.seed);
		this.#owners = Array.from({length: options.targets}, () => new SimulatedOwner());
		for (const owner of this.#owners) {
			this.#scheduleOwnCrash(owner);
		}

		this.#repeat(options.jointCrashMs, () => {
			for (const owner of this.#owners) {
				this.#crash(owner);
			}
		});
		this.#repeatAtRandom(options.uniquePerS, () => {
			this.#send(`unique-${this.#nextId++}`, 1);
		});
		this.#repeatAtRandom(options.popularPerS, () => {
			this.#send(POPULAR, 1);
		});
		this.#repeatAtRandom(options.knownPerS, () => {
			this.#send(KNOWN, 1);
		});
		this.#repeatAtRandom(options.deadlyPerS ?? 0, () => {
			this.#send(DEADLY, MAX_TRIES);
		});
		this.#repeat(500, () => {
			for (const {quarantine} of this.#owners) {
				quarantine.removeExpired(this.#scheduler.nowMs);
			}
		});
	}

	run(durationMs: number): void {
		this.#scheduler.runUntil(durationMs);
	}

	#send(request: string, tries: number): void {
		const {nowMs} = this.#scheduler;
		const up = this.#owners.filter(({isUp}) => isUp);
		if (up.length === 0) {
			return;
		}

		const first = this.#random.pick(up);
		const owner = first.quarantine.crashesOf(request) > 0 ? this.#chooseTogether(request, up) : first;
		const run = {
			request, attemptId: `a${this.#nextId++}`, startedMs: nowMs, tries, isLost: false,
		};
		const verdict = owner.quarantine.verdictOf(request, nowMs);
		if (verdict === 'refuse') {
			this.#countRefusal(request);
		} else if (verdict === 'trial') {
			const chosen = this.#chooseTogether(request, up);
			chosen.waiting.push(run);
			this.#advance(chosen);
		} else if (owner.isPaused) {
			owner.paused.push(run);
		} else {
			this.#begin(owner, run);
		}
	}

	#chooseTogether(request: string, up: readonly SimulatedOwner[]): SimulatedOwner {
		return this.#owners[Number(chooseByRendezvous(request, up.map(one => String(this.#owners.indexOf(one)))))];
	}

	#countRefusal(request: string): void {
		this.refused[request === POPULAR || request === KNOWN || request === DEADLY ? request : 'unique']++;
	}

	#begin(owner: SimulatedOwner, waiting: Run): void {
		const run = {...waiting, startedMs: this.#scheduler.nowMs};
		owner.running.add(run);
		const isDeadly = run.request === DEADLY && this.#scheduler.nowMs < (this.#options.mendedAtMs ?? Number.POSITIVE_INFINITY);
		if (waiting === owner.onTrial) {
			owner.onTrial = run;
		}

		this.#scheduler.schedule(isDeadly ? DEADLY_MS : this.#random.serviceMs(SERVICE_MS), () => {
			if (run.isLost) {
				return;
			}

			if (isDeadly) {
				this.deadlyCrashesMs.push(this.#scheduler.nowMs);
				this.#crash(owner);
			} else {
				this.#end(owner, run);
			}
		});
	}

	#end(owner: SimulatedOwner, run: Run): void {
		const {nowMs} = this.#scheduler;
		owner.running.delete(run);
		owner.answered.push(run.request);
		if (owner.answered.length > MAX_ANSWERED) {
			owner.answered.shift();
		}

		this.deadlyServed += run.request === DEADLY ? 1 : 0;
		const {survival, hold} = owner.quarantine.concludeServed(run.request, run.startedMs, nowMs);
		this.#tell(owner, {crashes: [], survivals: survival === undefined ? [] : [survival], holds: hold === undefined ? [] : [hold]});
		this.#endTrial(owner, run);
		this.#advance(owner);
	}

	#crash(owner: SimulatedOwner): void {
		if (!owner.isUp) {
			return;
		}

		const {nowMs} = this.#scheduler;
		this.crashes++;
		owner.isUp = false;
		if (this.#owners.every(({isUp}) => !isUp)) {
			this.#outageFromMs = nowMs;
		}

		const lost = [...owner.running];
		owner.running.clear();
		const answered = new Set(owner.answered.splice(0));
		const runs = lost.filter(({request}) => !answered.has(request)).map(({request, attemptId, startedMs}) => ({request, attemptId, ranMs: nowMs - startedMs}));
		const inquiry = findSingleSuspect(runs, owner.quarantine, () => undefined, nowMs);
		if (runs.length > 0) {
			const crash = {
				id: this.#nextId++, service: 'back', start: '', requests: runs.map(({request}) => request),
			};
			const {report, hold} = owner.quarantine.concludeCrash(crash, inquiry && {...inquiry, subject: SUBJECT}, this.#owners.length, nowMs);
			this.#tell(owner, {crashes: [report], survivals: [], holds: hold === undefined ? [] : [hold]});
		}

		for (const run of lost) {
			run.isLost = true;
			this.#endTrial(owner, run);
		}

		for (const run of [...lost, ...owner.waiting.splice(0), ...owner.paused.splice(0)]) {
			if (run.tries < MAX_TRIES) {
				this.#send(run.request, run.tries + 1);
			}
		}

		this.#scheduler.schedule(DOWN_MS, () => {
			this.outageMs += this.#outageFromMs === undefined ? 0 : this.#scheduler.nowMs - this.#outageFromMs;
			this.#outageFromMs = undefined;
			owner.isUp = true;
		});
	}

	#endTrial(owner: SimulatedOwner, run: Run): void {
		if (owner.onTrial === run) {
			owner.onTrial = undefined;
			owner.schedule.onEnded(this.#scheduler.nowMs);
		}
	}

	#advance(owner: SimulatedOwner): void {
		const {nowMs} = this.#scheduler;
		for (const run of owner.waiting.splice(0)) {
			const verdict = owner.quarantine.verdictOf(run.request, nowMs);
			if (verdict === 'trial') {
				owner.waiting.push(run);
			} else if (verdict === 'refuse') {
				this.#countRefusal(run.request);
			} else {
				this.#begin(owner, run);
			}
		}

		const step = owner.schedule.next(owner.waiting.length, owner.running.size, nowMs);
		owner.isPaused = step !== 'run';
		if (step === 'begin') {
			this.trials++;
			const run = owner.waiting.shift()!;
			owner.onTrial = run;
			owner.schedule.onBegun(nowMs);
			this.#begin(owner, run);
		} else if (step === 'run') {
			for (const run of owner.paused.splice(0)) {
				this.#begin(owner, run);
			}
		}

		if (owner.waiting.length > 0 || owner.paused.length > 0) {
			this.#scheduler.schedule(50, () => {
				if (owner.isUp) {
					this.#advance(owner);
				}
			});
		}
	}

	#tell(from: SimulatedOwner, news: QuarantineNews): void {
		if (news.crashes.length + news.survivals.length + news.holds.length === 0) {
			return;
		}

		for (const owner of this.#owners.filter(other => other !== from)) {
			this.#scheduler.schedule(this.#random.next() * this.#options.newsMs, () => {
				owner.quarantine.record(news, this.#scheduler.nowMs);
			});
		}
	}

	#scheduleOwnCrash(owner: SimulatedOwner): void {
		this.#scheduler.schedule(this.#random.exponential(this.#options.meanUptimeMs), () => {
			this.#crash(owner);
			this.#scheduleOwnCrash(owner);
		});
	}

	#repeat(intervalMs: number, action: () => void): void {
		this.#scheduler.schedule(intervalMs, () => {
			action();
			this.#repeat(intervalMs, action);
		});
	}

	#repeatAtRandom(perS: number, action: () => void): void {
		if (perS > 0) {
			this.#scheduler.schedule(this.#random.exponential(1000 / perS), () => {
				action();
				this.#repeatAtRandom(perS, action);
			});
		}
	}
}
