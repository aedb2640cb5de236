import {RANK_COUNT, rankOf} from '../../core/index.js';
import {type FitCall, Fit} from './fit.js';
import {IndexedHeap} from './indexedheap.js';
import {type Priority} from './loadshedder.js';
import {QueueLane, type WaitingItem} from './queuelane.js';
import {RateLimiter} from './ratelimiter.js';
import {bucketOf} from './workbylaststart.js';

/** Why a call isn't run here: the queue is full or too long for its deadline, the deadline has passed or can no longer be met, or a call that goes before it took its place. */
export type AdmissionRefusal = 'full' | 'expired' | 'evicted';

/** The properties of a call by which the queue orders it. */
export type QueuedCall = FitCall & {
	/** Priority of the root request that the call is made for; higher ranks are served first. */
	readonly priority: Priority;
	/** Whether a run in progress waits for the call, so that refusing it would waste the work of its parent. */
	readonly isNested: boolean;
	/** When the objective of its root ends, in ms; the deadline if absent. */
	readonly objectiveEndMs?: number | undefined;
	/** The organisation of its root; absent if it belongs to none. */
	readonly organisation?: string | undefined;
	/** What its body takes while it waits. */
	readonly bodyBytes?: number;
};

/** The decision on an arriving call. */
export type AdmissionDecision<Call> = {
	readonly verdict: 'run' | 'wait' | AdmissionRefusal;
	/** The waiting calls that were removed to make room for this one. */
	readonly evicted: readonly Call[];
};

/** Queued calls allowed for each slot, which bounds their memory; whether one can be answered in time is asked for each. */
const QUEUED_PER_SLOT = 16;
/** Queued calls allowed whatever the limit is. */
const MIN_QUEUE_LENGTH = 64;
/** By what factor new calls may exceed the length of the queue if only nested calls could give way. */
const RESERVE_FACTOR = 2;
/** The most that the bodies of queued calls may take together. */
const MAX_QUEUED_BYTES = 16_777_216;
/** Share of its slots that a target is given: some targets slow down when nearly full, and a new connection may occupy a slot. */
const SLOT_SHARE = 0.95;
/** The slot in `heapPlaces` of the order of checks; the others belong to the order by due time. */
const CHECK_SLOT = 3;

const RUN = {verdict: 'run', evicted: []} as const;
const EXPIRED = {verdict: 'expired', evicted: []} as const;
const FULL = {verdict: 'full', evicted: []} as const;

/**
 * Enforces a concurrency limit of `limit` calls, and the rate limit that the target
 * names, and queues the rest: by the rank of their root request, nested calls before
 * new ones, then by the organisation's share, and then by what is due.
 * Handles the load pattern in which demand of several ranks exceeds the target's capacity.
 */
export class AdmissionQueue<Call extends QueuedCall> {
	/** Whether calls only wait; those that `takeSlot` admits run all the same. */
	isPaused = false;
	readonly #lanes: Array<QueueLane<Call> | undefined> = Array.from({length: RANK_COUNT * 2});
	readonly #waiting = new Map<Call, WaitingItem<Call>>();
	readonly #byCheck = new IndexedHeap<WaitingItem<Call>>(CHECK_SLOT, (a, b) => a.lastStartMs < b.lastStartMs);
	readonly #fit = new Fit();
	readonly #rateLimiter = new RateLimiter();
	readonly #weightOf: (organisation: string) => number;
	#limit: number;
	#running = 0;
	#arrivals = 0;
	#queuedBytes = 0;
	/** Moving mean of the time that calls run; 20 ms until calls have ended. */
	#meanServiceMs = 20;

	/** @param weightOf what an organisation is entitled to, in relation to the others */
	constructor(limit: number, weightOf: (organisation: string) => number = () => 1) {
		this.#limit = limit;
		this.#weightOf = weightOf;
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
		return this.#waiting.size;
	}

	/** The bytes of the queued calls' bodies. */
	get queuedBytes(): number {
		return this.#queuedBytes;
	}

	/** Decides whether an arriving call runs now, waits or is refused. */
	admit(call: Call, nowMs: number): AdmissionDecision<Call> {
		if (call.deadlineMs - nowMs <= 0) {
			return EXPIRED;
		}

		if (!this.isPaused && this.#running < this.#limit && this.queued === 0 && this.#rateLimiter.tryTake(nowMs)) {
			this.#running++;
			return RUN;
		}

		const item = this.#createItem(call, nowMs);
		const tokenWaitMs = this.#rateLimiter.waitMs(this.#callsAhead(item.lane) + 1, nowMs);
		const canBeAnswered = this.#fit.fits(call, tokenWaitMs, nowMs) && item.lane.hasRoomFor(item, this.#waitAboveMs(item.lane), nowMs, this.#limit);
		const evicted = canBeAnswered ? this.#makeRoom(item) : undefined;
		if (evicted === undefined) {
			return FULL;
		}

		this.#waiting.set(call, item);
		this.#queuedBytes += item.bytes;
		item.lane.add(item, nowMs);
		this.#byCheck.add(item);
		return {verdict: 'wait', evicted};
	}

	/** Counts a call as running that doesn't wait in the queue. @returns whether the rate limit allows it now */
	takeSlot(nowMs: number): boolean {
		const isAllowed = this.#rateLimiter.tryTake(nowMs);
		this.#running += isAllowed ? 1 : 0;
		return isAllowed;
	}

	/**
	 * Frees the slot of a call that held it for `spentMs`, or that never ran if that is undefined.
	 * @param isServed whether the target answered; one that turns calls away at once isn't a fast one
	 */
	release(spentMs: number | undefined, isServed = true): void {
		this.#running = Math.max(0, this.#running - 1);
		if (spentMs !== undefined && (isServed || spentMs > this.#meanServiceMs)) {
			this.#meanServiceMs += (spentMs - this.#meanServiceMs) * 0.05;
		}
	}

	/**
	 * Removes the next call that may run now and counts it as running. A call that
	 * can no longer meet its deadline is returned as expired and takes no slot.
	 */
	dequeue(nowMs: number): {call: Call; expired: boolean} | undefined {
		if (this.queued === 0) {
			return undefined;
		}

		const hopeless = this.#takeHopeless(nowMs);
		if (hopeless !== undefined) {
			return {call: hopeless, expired: true};
		}

		if (this.isPaused || this.#running >= this.#limit) {
			return undefined;
		}

		const item = this.#lanes.find(lane => lane !== undefined && lane.size > 0)?.next(nowMs, this.#limit);
		if (item === undefined || !this.#rateLimiter.tryTake(nowMs)) {
			return undefined;
		}

		item.lane.serve(item, nowMs);
		this.#forget(item);
		this.#running++;
		return {call: item.call, expired: false};
	}

	/** Removes the waiting calls that can no longer meet their deadline. */
	removeExpired(nowMs: number): Call[] {
		const expired: Call[] = [];
		for (let call = this.#takeHopeless(nowMs); call !== undefined; call = this.#takeHopeless(nowMs)) {
			expired.push(call);
		}

		return expired;
	}

	/** Removes a waiting call. @returns whether it was waiting */
	cancel(call: Call): boolean {
		const item = this.#waiting.get(call);
		if (item !== undefined) {
			this.#remove(item);
		}

		return item !== undefined;
	}

	/** The expected slot time of all waiting calls of at least the rank of this level, in ms. */
	queuedWorkMs(level: number): number {
		const end = (RANK_COUNT - rankOf(level)) * 2;
		let sumMs = 0;
		for (let index = 0; index < end && index < this.#lanes.length; index++) {
			sumMs += this.#lanes[index]?.workMs ?? 0;
		}

		return sumMs;
	}

	/** Removes all waiting calls. */
	clear(): Call[] {
		const all = [...this.#waiting.keys()];
		for (const call of all) {
			this.cancel(call);
		}

		return all;
	}

	#createItem(call: Call, nowMs: number): WaitingItem<Call> {
		const index = laneIndexOf(call);
		const lane = this.#lanes[index] ?? new QueueLane(index, this.#weightOf);
		this.#lanes[index] = lane;
		const lastStartMs = this.#fit.lastStartMs(call);
		return {
			call,
			lane,
			organisation: call.organisation ?? '',
			bytes: call.bodyBytes ?? 0,
			dueMs: Math.min(call.deadlineMs, call.objectiveEndMs ?? call.deadlineMs),
			serviceMs: call.serviceMs,
			lastStartMs,
			bucket: bucketOf(lastStartMs, nowMs),
			order: this.#arrivals++,
			heapPlaces: [-1, -1, -1, -1],
		};
	}

	#remove(item: WaitingItem<Call>): void {
		item.lane.remove(item);
		this.#forget(item);
	}

	#forget(item: WaitingItem<Call>): void {
		this.#waiting.delete(item.call);
		this.#queuedBytes -= item.bytes;
		this.#byCheck.remove(item);
	}

	#takeHopeless(nowMs: number): Call | undefined {
		const item = this.#byCheck.first;
		if (item === undefined || nowMs <= item.lastStartMs) {
			return undefined;
		}

		this.#remove(item);
		return item.call;
	}

	/** The expected wait until the slots that are free or become free serve this lane, in ms. */
	#waitAboveMs(lane: QueueLane<Call>): number {
		const slotMs = (Math.max(0, this.#running - this.#limit) + 1) * this.#meanServiceMs;
		return (slotMs + this.#workAboveMs(lane)) / this.#limit;
	}

	/** The expected slot time of the calls in the lanes that are served before this one, in ms. */
	#workAboveMs({index}: QueueLane<Call>): number {
		let sumMs = 0;
		for (let above = 0; above < index; above++) {
			sumMs += this.#lanes[above]?.workMs ?? 0;
		}

		return sumMs;
	}

	/** The number of calls in this lane and those served before it. */
	#callsAhead({index}: QueueLane<Call>): number {
		let count = 0;
		for (let above = 0; above <= index; above++) {
			count += this.#lanes[above]?.size ?? 0;
		}

		return count;
	}

	/** Removes calls until there is room for one more. @returns the removed ones; undefined if there can be no room */
	#makeRoom(item: WaitingItem<Call>): Call[] | undefined {
		const {lane, bytes, organisation, serviceMs} = item;
		const maxCalls = Math.max(MIN_QUEUE_LENGTH, this.#limit * QUEUED_PER_SLOT);
		const tooManyBytes = (freedBytes: number) => this.#queuedBytes - freedBytes + bytes > MAX_QUEUED_BYTES;
		const evicted: Call[] = [];
		const below = this.#lanesBelow(lane);
		let isTooLong = this.queued >= maxCalls;
		if (!tooManyBytes(below.reduce((sum, {bytes: freed}) => sum + freed, 0))) {
			for (const lower of below) {
				while (lower.size > 0 && (isTooLong || tooManyBytes(0))) {
					evicted.push(this.#evict(lower.leastOwed!));
					isTooLong = false;
				}
			}
		}

		if (!isTooLong && !tooManyBytes(0)) {
			return evicted;
		}

		const overShare = lane.findOverShare(organisation, serviceMs);
		if (overShare !== undefined && !tooManyBytes(overShare.bytes)) {
			return [this.#evict(overShare)];
		}

		const hasPaidBelow = isNewLane(lane) && this.#lanes.some((other, index) => index > lane.index && (other?.size ?? 0) > 0);
		return hasPaidBelow && this.queued < maxCalls * RESERVE_FACTOR && !tooManyBytes(0) ? [] : undefined;
	}

	#evict(item: WaitingItem<Call>): Call {
		this.#remove(item);
		return item.call;
	}

	/** The lanes whose calls give way to one of this lane, in that order: nested calls never do to new ones. */
	#lanesBelow(lane: QueueLane<Call>): Array<QueueLane<Call>> {
		const below = this.#lanes.filter(other => other !== undefined && other.index > lane.index && other.size > 0).toReversed() as Array<QueueLane<Call>>;
		const newOnes = below.filter(other => isNewLane(other));
		return isNewLane(lane) ? newOnes : [...newOnes, ...below.filter(other => !isNewLane(other))];
	}
}

/** The concurrency limit for a target with this many slots. */
export function usableSlots(slots: number): number {
	return Math.max(1, Math.floor(slots * SLOT_SHARE));
}

/** The index of the lane that a call belongs to; lower indexes are served first. */
function laneIndexOf({priority, isNested}: QueuedCall): number {
	return ((RANK_COUNT - 1 - rankOf(priority.level)) * 2) + (isNested ? 0 : 1);
}

function isNewLane({index}: {readonly index: number}): boolean {
	return index % 2 === 1;
}
