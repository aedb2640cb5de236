import {RANK_COUNT, levelOf} from '../src/core/index.js';
import {AdmissionQueue, type QueuedCall, ServiceTimes} from '../src/mesh/index.js';
import {type Random} from './random.js';
import {Scheduler} from './scheduler.js';

/** The interval at which an owner removes calls from its queue that it can't serve any more, in ms. */
const CHECK_MS = 50;

/** One kind of call that comes to the owner, at random times. */
export type QueueLoad = {
	readonly name: string;
	readonly perS: number;
	readonly workMs: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly rank?: number;
	readonly isNested?: boolean;
	readonly organisation?: string;
	/** By what its rate is multiplied for a time. */
	readonly burst?: {readonly factor: number; readonly fromMs: number; readonly untilMs: number};
};
/** What became of the calls of one kind. */
export type QueueTally = {calls: number; inTime: number; late: number; refused: number; held: number; waitedMs: number; longestHeldMs: number};

type SimulatedCall = QueuedCall & {readonly load: QueueLoad; readonly arrivedMs: number; ends: number};

/** Simulates the queue of one owner and its target in virtual time. A call that is refused after a wait counts as held. */
export class QueueSimulation {
	readonly tallies = new Map<string, QueueTally>();
	/** Calls that were answered or refused more than once, or never. */
	wronglyEnded = 0;
	/** The time for which a slot was free while a call waited, in checks. */
	idleChecks = 0;
	readonly #queue: AdmissionQueue<SimulatedCall>;
	readonly #serviceTimes = new ServiceTimes();
	readonly #scheduler = new Scheduler(0);
	readonly #random: Random;
	readonly #calls: SimulatedCall[] = [];

	constructor(loads: readonly QueueLoad[], slots: number, random: Random, weightOf?: (organisation: string) => number) {
		this.#queue = new AdmissionQueue(slots, weightOf);
		this.#random = random;
		for (const load of loads) {
			this.tallies.set(load.name, {
				calls: 0, inTime: 0, late: 0, refused: 0, held: 0, waitedMs: 0, longestHeldMs: 0,
			});
			this.#scheduleArrival(load);
		}

		this.#scheduleCheck();
	}

	/** Lets calls come for a time, then ends those that still wait or run. */
	run(durationMs: number): this {
		this.#scheduler.runUntil(durationMs);
		const waiting = new Set(this.#queue.clear());
		this.wronglyEnded += this.#calls.filter(call => call.ends !== (waiting.has(call) ? 0 : 1)).length - this.#queue.running;
		return this;
	}

	#scheduleArrival(load: QueueLoad): void {
		const {burst, perS} = load;
		const {nowMs} = this.#scheduler;
		const factor = burst !== undefined && nowMs >= burst.fromMs && nowMs < burst.untilMs ? burst.factor : 1;
		this.#scheduler.schedule(-Math.log(1 - this.#random.next()) * 1000 / (perS * factor), () => {
			this.#arrive(load);
			this.#scheduleArrival(load);
		});
	}

	#arrive(load: QueueLoad): void {
		const {nowMs} = this.#scheduler;
		const {name, objectiveMs, deadlineMs, rank = 0, isNested = false, organisation} = load;
		const call: SimulatedCall = {
			load,
			arrivedMs: nowMs,
			ends: 0,
			priority: {level: levelOf(RANK_COUNT - 1 - rank, name, 0), floor: 0},
			isNested,
			organisation,
			deadlineMs: nowMs + deadlineMs,
			objectiveEndMs: nowMs + objectiveMs,
			serviceMs: this.#serviceTimes.expectedMs(name),
			deviationMs: this.#serviceTimes.deviationMs(name),
		};
		this.#calls.push(call);
		this.tallies.get(name)!.calls++;
		const {verdict, evicted} = this.#queue.admit(call, nowMs);
		for (const other of evicted) {
			this.#refuse(other);
		}

		if (verdict === 'run') {
			this.#start(call);
		} else if (verdict !== 'wait') {
			this.#refuse(call);
		}
	}

	#start(call: SimulatedCall): void {
		const {name, workMs} = call.load;
		// One run in twenty takes seven times as long as most.
		const spentMs = workMs * (this.#random.chance(0.05) ? 7 : 1) * this.#random.between(0.7, 1.3) / 1.3;
		const tally = this.tallies.get(name)!;
		tally.waitedMs += this.#scheduler.nowMs - call.arrivedMs;
		this.#scheduler.schedule(spentMs, () => {
			const {nowMs} = this.#scheduler;
			this.#serviceTimes.record(name, spentMs);
			call.ends++;
			if (nowMs > call.deadlineMs) {
				tally.refused++;
			} else {
				tally[nowMs <= call.objectiveEndMs! ? 'inTime' : 'late']++;
			}

			this.#queue.release(spentMs);
			this.#startQueued();
		});
	}

	#startQueued(): void {
		for (let next = this.#queue.dequeue(this.#scheduler.nowMs); next !== undefined; next = this.#queue.dequeue(this.#scheduler.nowMs)) {
			if (next.expired) {
				this.#refuse(next.call);
			} else {
				this.#start(next.call);
			}
		}
	}

	#refuse(call: SimulatedCall): void {
		const heldMs = this.#scheduler.nowMs - call.arrivedMs;
		const tally = this.tallies.get(call.load.name)!;
		call.ends++;
		tally.refused++;
		tally.held += heldMs > 0 ? 1 : 0;
		tally.longestHeldMs = Math.max(tally.longestHeldMs, heldMs);
	}

	#scheduleCheck(): void {
		this.#scheduler.schedule(CHECK_MS, () => {
			for (const call of this.#queue.removeExpired(this.#scheduler.nowMs)) {
				this.#refuse(call);
			}

			this.idleChecks += this.#queue.queued > 0 && this.#queue.running < this.#queue.limit ? 1 : 0;
			this.#scheduleCheck();
		});
	}
}
