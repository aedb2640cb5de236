import {DrainRate} from './drainrate.js';
import {IndexedHeap} from './indexedheap.js';

type Share = {
	readonly name: string;
	readonly weight: number;
	/** Order in which the organisations were first seen; it decides between equal tags. */
	readonly order: number;
	readonly heapPlaces: number[];
	/** Slot time given so far, divided by the weight; raised to that of the last served when the organisation comes back. */
	tag: number;
	waitingCalls: number;
	waitingWorkMs: number;
};

const TAG_SLOT = 0;
const WORK_SLOT = 1;
/** The least weight: also an organisation that is entitled to nothing must not wait for ever. */
const MIN_WEIGHT = 0.001;
/** The least part of the slots that an organisation is reckoned with. */
const MIN_PART = 0.01;

/**
 * Decides which organisation is next, by start-time fair queueing over slot time: the
 * one that has had the least for what it is entitled to. Work-conserving, and logarithmic in the
 * number of organisations that wait.
 * Handles the load pattern in which one organisation sends many times its share, and
 * the others' calls would wait behind its own.
 */
export class FairShares {
	readonly #weightOf: (organisation: string) => number;
	readonly #tagRate: DrainRate;
	readonly #shares = new Map<string, Share>();
	readonly #byTag = new IndexedHeap<Share>(TAG_SLOT, (a, b) => a.tag === b.tag ? a.order < b.order : a.tag < b.tag);
	readonly #byWork = new IndexedHeap<Share>(WORK_SLOT, (a, b) => a.waitingWorkMs / a.weight > b.waitingWorkMs / b.weight);
	/** The tag of the organisation that was served last. */
	#servedTag = 0;
	#waitingWeight = 0;

	/** @param weightOf what an organisation is entitled to, in relation to the others */
	constructor(weightOf: (organisation: string) => number, nowMs: number) {
		this.#weightOf = weightOf;
		this.#tagRate = new DrainRate(nowMs);
	}

	/** Adds a waiting call of an organisation, expected to hold a slot for `workMs`. */
	add(organisation: string, workMs: number): void {
		const share = this.#getOrCreate(organisation);
		share.waitingCalls++;
		share.waitingWorkMs += workMs;
		if (share.waitingCalls === 1) {
			share.tag = Math.max(share.tag, this.#servedTag);
			this.#waitingWeight += share.weight;
			this.#byTag.add(share);
			this.#byWork.add(share);
		} else {
			this.#byWork.update(share);
		}
	}

	/** The organisation whose call goes next; undefined if none waits. */
	next(): string | undefined {
		return this.#byTag.first?.name;
	}

	/** The organisation whose waiting calls are the most for what it is entitled to. */
	furthestOver(): string | undefined {
		return this.#byWork.first?.name;
	}

	/** The slot time for which calls of the organisation wait, `addedMs` more included, divided by its weight. */
	overMs(organisation: string, addedMs = 0): number {
		const share = this.#shares.get(organisation);
		return (this.workOfMs(organisation) + addedMs) / (share?.weight ?? this.#weigh(organisation));
	}

	/** Removes a call that gets a slot now, and charges it. */
	serve(organisation: string, workMs: number, nowMs: number): void {
		const share = this.#shares.get(organisation)!;
		this.#tagRate.add(share.tag - this.#servedTag, nowMs);
		this.#servedTag = share.tag;
		share.tag += workMs / share.weight;
		this.#byTag.update(share);
		this.remove(organisation, workMs);
	}

	/** Removes a call that gets no slot. */
	remove(organisation: string, workMs: number): void {
		const share = this.#shares.get(organisation)!;
		share.waitingCalls--;
		share.waitingWorkMs = share.waitingCalls === 0 ? 0 : share.waitingWorkMs - workMs;
		if (share.waitingCalls > 0) {
			this.#byWork.update(share);
			return;
		}

		this.#waitingWeight -= share.weight;
		this.#byTag.remove(share);
		this.#byWork.remove(share);
	}

	/** The slot time for which calls of the organisation wait, in ms. */
	workOfMs(organisation: string): number {
		return this.#shares.get(organisation)?.waitingWorkMs ?? 0;
	}

	/** The slot time that the organisation is given in a ms as long as it waits. @param slots how many slots serve all of them */
	rateOf(organisation: string, slots: number): number {
		const share = this.#shares.get(organisation);
		const weight = share?.weight ?? this.#weigh(organisation);
		const {perMs: tagsPerMs} = this.#tagRate;
		const newWeight = (share?.waitingCalls ?? 0) > 0 ? 0 : weight;
		return tagsPerMs === undefined ? slots * weight / (this.#waitingWeight + newWeight) : Math.min(slots, Math.max(tagsPerMs * weight, slots * MIN_PART));
	}

	/** The slot time that the organisation was given beyond that of the last served. */
	debtMs(organisation: string): number {
		const share = this.#shares.get(organisation);
		return share === undefined ? 0 : Math.max(0, share.tag - this.#servedTag) * share.weight;
	}

	#weigh(organisation: string): number {
		return Math.max(MIN_WEIGHT, this.#weightOf(organisation));
	}

	#getOrCreate(name: string): Share {
		let share = this.#shares.get(name);
		if (share === undefined) {
			share = {
				name, weight: this.#weigh(name), order: this.#shares.size, heapPlaces: [-1, -1], tag: 0, waitingCalls: 0, waitingWorkMs: 0,
			};
			this.#shares.set(name, share);
		}

		return share;
	}
}
