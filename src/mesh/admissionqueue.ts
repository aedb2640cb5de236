import {RANK_COUNT, rankOf} from '../core/index.js';
import {type Priority} from './loadshedder.js';

/** Why a call isn't run here. */
export type AdmissionRefusal = 'full' | 'expired' | 'evicted';

/** A call as the queue sees it. */
export type QueuedCall = {
	/** The place of the root that the call is made for; higher ranks of it are served first. */
	readonly priority: Priority;
	/** Whether a run in progress waits for it: its parent's work is already spent. */
	readonly isNested: boolean;
	/** When its answer must have come, in ms. */
	readonly deadlineMs: number;
	/** How long it is expected to run, in ms. */
	readonly serviceMs: number;
};

/** What the gate decides on an arriving call. */
export type AdmissionDecision<Call> = {
	readonly verdict: 'run' | 'wait' | AdmissionRefusal;
	/** A waiting call that had to make room. */
	readonly evicted?: Call;
};

/** How many calls may wait for each that runs: a queue longer than that is waited in for nothing. */
const QUEUE_PER_SLOT = 4;
const MIN_QUEUE = 64;
/** The share of its slots that a target is given: some slow down when they are nearly full, and a new connection may hold a slot. */
const SLOT_SHARE = 0.95;

/**
 * Runs at most `limit` calls at once and lets the rest wait: by the rank of
 * their root, nested calls before new ones, and then the oldest first.
 * Load pattern: demand beyond what the target serves well, of several ranks.
 */
export class AdmissionQueue<Call extends QueuedCall> {
	readonly #queues: Call[][] = [];
	#limit: number;
	#running = 0;
	#queued = 0;
	#meanServiceMs = 20;

	constructor(limit: number) {
		this.#limit = limit;
	}

	get limit(): number {
		return this.#limit;
	}

	set limit(limit: number) {
		this.#limit = Math.max(1, limit);
	}

	get running(): number {
		return this.#running;
	}

	get queued(): number {
		return this.#queued;
	}

	admit(call: Call, nowMs: number): AdmissionDecision<Call> {
		if (call.deadlineMs - nowMs <= 0) {
			return {verdict: 'expired'};
		}

		if (this.#running < this.#limit && this.#queued === 0) {
			this.#running++;
			return {verdict: 'run'};
		}

		const place = queueOf(call);
		if (nowMs + this.#waitMs(place) + call.serviceMs > call.deadlineMs) {
			return {verdict: 'full'};
		}

		let evicted: Call | undefined;
		if (this.#queued >= Math.max(MIN_QUEUE, this.#limit * QUEUE_PER_SLOT)) {
			evicted = this.#evictBelow(place);
			if (evicted === undefined) {
				return {verdict: 'full'};
			}
		}

		this.#queueAt(place).push(call);
		this.#queued++;
		return evicted === undefined ? {verdict: 'wait'} : {verdict: 'wait', evicted};
	}

	/** A running call has ended after a time, in ms. */
	release(serviceMs: number): void {
		this.#running = Math.max(0, this.#running - 1);
		this.#meanServiceMs += (serviceMs - this.#meanServiceMs) * 0.05;
	}

	/** The next call that may run now; it counts as running. Calls that can't end in time come out as expired. */
	dequeue(nowMs: number): {call: Call; expired: boolean} | undefined {
		if (this.#queued === 0) {
			return undefined;
		}

		for (const queue of this.#queues) {
			const call = queue?.[0];
			if (call === undefined) {
				continue;
			}

			const expired = nowMs + call.serviceMs > call.deadlineMs;
			if (!expired && this.#running >= this.#limit) {
				return undefined;
			}

			queue.shift();
			this.#queued--;
			if (!expired) {
				this.#running++;
			}

			return {call, expired};
		}

		return undefined;
	}

	/** Takes out the waiting calls that can no longer end in time. */
	removeExpired(nowMs: number): Call[] {
		const expired: Call[] = [];
		for (const queue of this.#queues) {
			for (let index = (queue?.length ?? 0) - 1; index >= 0; index--) {
				if (nowMs + queue[index].serviceMs > queue[index].deadlineMs) {
					expired.push(...queue.splice(index, 1));
				}
			}
		}

		this.#queued -= expired.length;
		return expired;
	}

	/** Takes a waiting call out. @returns whether it was waiting */
	cancel(call: Call): boolean {
		const queue = this.#queues[queueOf(call)];
		const index = queue?.indexOf(call) ?? -1;
		if (index === -1) {
			return false;
		}

		queue.splice(index, 1);
		this.#queued--;
		return true;
	}

	/** The slot time that waiting calls of a level or above will take, in ms. */
	queuedWorkMs(level: number): number {
		let sumMs = 0;
		for (const queue of this.#queues) {
			for (const call of queue) {
				sumMs += call.priority.level >= level ? call.serviceMs : 0;
			}
		}

		return sumMs;
	}

	/** Takes out all that wait. */
	clear(): Call[] {
		const all = this.#queues.flat().filter(call => call !== undefined);
		this.#queues.length = 0;
		this.#queued = 0;
		return all;
	}

	/** How long a call in a queue would wait, in ms. */
	#waitMs(place: number): number {
		let ahead = Math.max(0, this.#running - this.#limit) + 1;
		for (let index = 0; index <= place; index++) {
			ahead += this.#queues[index]?.length ?? 0;
		}

		return ahead * this.#meanServiceMs / this.#limit;
	}

	#queueAt(place: number): Call[] {
		while (this.#queues.length <= place) {
			this.#queues.push([]);
		}

		return this.#queues[place];
	}

	#evictBelow(place: number): Call | undefined {
		for (let index = this.#queues.length - 1; index > place; index--) {
			const evicted = this.#queues[index].pop();
			if (evicted !== undefined) {
				this.#queued--;
				return evicted;
			}
		}

		return undefined;
	}
}

/** How many calls a target with so many slots is given at once. */
export function usableSlots(slots: number): number {
	return Math.max(1, Math.floor(slots * SLOT_SHARE));
}

/** The number of a call's queue; lower ones are served first. */
function queueOf({priority: standing, isNested}: QueuedCall): number {
	return ((RANK_COUNT - 1 - rankOf(standing.level)) * 2) + (isNested ? 0 : 1);
}
