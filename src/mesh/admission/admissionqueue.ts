import {RANK_COUNT, rankOf} from '../../core/index.js';
import {type Priority} from './loadshedder.js';
import {RateLimiter} from './ratelimiter.js';

/** Why a call isn't run here: the queue is full or too long for its deadline, the deadline has passed or can no longer be met, or a call of a higher rank took its place. */
export type AdmissionRefusal = 'full' | 'expired' | 'evicted';

/** The properties of a call by which the queue orders it. */
export type QueuedCall = {
	/** Priority of the root request that the call is made for; higher ranks are served first. */
	readonly priority: Priority;
	/** Whether a run in progress waits for the call, so that refusing it would waste the work of its parent. */
	readonly isNested: boolean;
	/** Time by which the answer must have arrived, in ms. */
	readonly deadlineMs: number;
	/** Expected time at the target, in ms. */
	readonly serviceMs: number;
};

/** The decision on an arriving call. */
export type AdmissionDecision<Call> = {
	readonly verdict: 'run' | 'wait' | AdmissionRefusal;
	/** A waiting call that was removed to make room for this one. */
	readonly evicted?: Call;
};

/** Queued calls allowed for each slot: in a longer queue, calls expire before they run. */
const QUEUED_PER_SLOT = 4;
/** Queued calls allowed whatever the limit is. */
const MIN_QUEUE_LENGTH = 64;
/** Share of its slots that a target is given: some targets slow down when nearly full, and a new connection may occupy a slot. */
const SLOT_SHARE = 0.95;
/** The longest that a call waits for its token at a rate-limited target, in ms: another target, or a later retry, serves it sooner. */
const MAX_TOKEN_WAIT_MS = 500;

/**
 * Enforces a concurrency limit of `limit` calls, and the rate limit that the target
 * names, and queues the rest: by the rank of their root request, nested calls before
 * new ones, and then the oldest first.
 * Handles the load pattern in which demand of several ranks exceeds the target's capacity.
 */
export class AdmissionQueue<Call extends QueuedCall> {
	readonly #queues: Call[][] = [];
	readonly #rateLimiter = new RateLimiter();
	#limit: number;
	#running = 0;
	#queued = 0;
	/** Moving mean of the time that calls run; 20 ms until calls have ended. */
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

	/** The rate limit in force, in calls per second; infinite without one. */
	get ratePerS(): number {
		return this.#rateLimiter.ratePerS;
	}

	/** The number of calls that the target can run at once, as both limits allow. */
	get concurrency(): number {
		return Math.min(this.#limit, this.#rateLimiter.ratePerS * this.#meanServiceMs / 1000);
	}

	/** Sets the rate limit in calls per second, or removes it. */
	setRateLimit(limitPerS: number | undefined, nowMs: number): void {
		this.#rateLimiter.setLimit(limitPerS, nowMs);
	}

	get running(): number {
		return this.#running;
	}

	get queued(): number {
		return this.#queued;
	}

	/** Decides whether an arriving call runs now, waits or is refused. */
	admit(call: Call, nowMs: number): AdmissionDecision<Call> {
		if (call.deadlineMs - nowMs <= 0) {
			return {verdict: 'expired'};
		}

		if (this.#running < this.#limit && this.#queued === 0 && this.#rateLimiter.tryTake(nowMs)) {
			this.#running++;
			return {verdict: 'run'};
		}

		const queueIndex = queueIndexOf(call);
		const tokenWaitMs = this.#rateLimiter.waitMs(this.#callsAhead(queueIndex) + 1, nowMs);
		const waitMs = Math.max(this.#slotWaitMs(queueIndex), tokenWaitMs);
		if (tokenWaitMs > MAX_TOKEN_WAIT_MS || nowMs + waitMs + call.serviceMs > call.deadlineMs) {
			return {verdict: 'full'};
		}

		let evicted: Call | undefined;
		if (this.#queued >= Math.max(MIN_QUEUE_LENGTH, this.#limit * QUEUED_PER_SLOT)) {
			evicted = this.#evictBelow(queueIndex);
			if (evicted === undefined) {
				return {verdict: 'full'};
			}
		}

		this.#queueAt(queueIndex).push(call);
		this.#queued++;
		return evicted === undefined ? {verdict: 'wait'} : {verdict: 'wait', evicted};
	}

	/** Frees the slot of a call that ran for `serviceMs`, or that never ran if that is undefined. */
	release(serviceMs: number | undefined): void {
		this.#running = Math.max(0, this.#running - 1);
		if (serviceMs !== undefined) {
			this.#meanServiceMs += (serviceMs - this.#meanServiceMs) * 0.05;
		}
	}

	/**
	 * Removes the next call that may run now and counts it as running. A call that
	 * can't meet its deadline is returned as expired and takes no slot.
	 */
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
			if (!expired && (this.#running >= this.#limit || !this.#rateLimiter.tryTake(nowMs))) {
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

	/** Removes the waiting calls that can no longer meet their deadline. */
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

	/** Removes a waiting call. @returns whether it was waiting */
	cancel(call: Call): boolean {
		const queue = this.#queues[queueIndexOf(call)];
		const index = queue?.indexOf(call) ?? -1;
		if (index === -1) {
			return false;
		}

		queue.splice(index, 1);
		this.#queued--;
		return true;
	}

	/** The expected slot time of all waiting calls of at least this level, in ms. */
	queuedWorkMs(level: number): number {
		let sumMs = 0;
		for (const queue of this.#queues) {
			for (const call of queue) {
				sumMs += call.priority.level >= level ? call.serviceMs : 0;
			}
		}

		return sumMs;
	}

	/** Removes all waiting calls. */
	clear(): Call[] {
		const all = this.#queues.flat().filter(call => call !== undefined);
		this.#queues.length = 0;
		this.#queued = 0;
		return all;
	}

	/** The expected wait for a slot of a call that is added to a queue now, in ms. */
	#slotWaitMs(queueIndex: number): number {
		const callsAhead = Math.max(0, this.#running - this.#limit) + 1 + this.#callsAhead(queueIndex);
		return callsAhead * this.#meanServiceMs / this.#limit;
	}

	/** The number of waiting calls that are served before one that is added to a queue now. */
	#callsAhead(queueIndex: number): number {
		let count = 0;
		for (let index = 0; index <= queueIndex; index++) {
			count += this.#queues[index]?.length ?? 0;
		}

		return count;
	}

	#queueAt(queueIndex: number): Call[] {
		while (this.#queues.length <= queueIndex) {
			this.#queues.push([]);
		}

		return this.#queues[queueIndex];
	}

	#evictBelow(queueIndex: number): Call | undefined {
		for (let index = this.#queues.length - 1; index > queueIndex; index--) {
			const evicted = this.#queues[index].pop();
			if (evicted !== undefined) {
				this.#queued--;
				return evicted;
			}
		}

		return undefined;
	}
}

/** The concurrency limit for a target with this many slots. */
export function usableSlots(slots: number): number {
	return Math.max(1, Math.floor(slots * SLOT_SHARE));
}

/** The index of the queue that a call belongs to; lower indexes are served first. */
function queueIndexOf({priority, isNested}: QueuedCall): number {
	return ((RANK_COUNT - 1 - rankOf(priority.level)) * 2) + (isNested ? 0 : 1);
}
