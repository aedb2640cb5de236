import {type HeapItem, IndexedHeap} from './indexedheap.js';

/** What the order by due time has to know of a waiting call. */
export type DueItem = HeapItem & {
	/** When the objective of its root ends, or its deadline if that is earlier, in ms. */
	readonly dueMs: number;
	/** Expected time at the target, in ms. */
	readonly serviceMs: number;
	/** The latest start that still makes an answer by `dueMs` likely, in ms. */
	readonly inTimeStartMs: number;
	/** Order of arrival. */
	readonly order: number;
	/** Whether it can no longer be in time. */
	isLate: boolean;
};

/** The slots in `heapPlaces` that a `DueOrder` uses. */
const NEXT_SLOT = 0;
const LAST_SLOT = 1;

/**
 * Orders waiting calls: the earliest due first, until not all of them can be in time. Then
 * those that still can go first, and of the late ones those that hold a slot for the
 * shortest time: they are worth the most per ms of slot.
 * Handles the load pattern in which a burst makes more calls wait than can be in time, so that
 * serving the earliest due first would make all of them late.
 */
export class DueOrder<Item extends DueItem> {
	readonly #inTime = new IndexedHeap<Item>(NEXT_SLOT, isDueBefore);
	readonly #late = new IndexedHeap<Item>(NEXT_SLOT, (a, b) => a.serviceMs === b.serviceMs ? isDueBefore(a, b) : a.serviceMs < b.serviceMs);
	readonly #byLastDue = new IndexedHeap<Item>(LAST_SLOT, (a, b) => isDueBefore(b, a));
	#inTimeWorkMs = 0;

	get size(): number {
		return this.#byLastDue.size;
	}

	/** The expected slot time of the calls that can still be in time, in ms. */
	get inTimeWorkMs(): number {
		return this.#inTimeWorkMs;
	}

	/** The call that is due last. */
	get lastDue(): Item | undefined {
		return this.#byLastDue.first;
	}

	/** The waiting calls, in no particular order. */
	items(): Iterable<Item> {
		return this.#byLastDue.items();
	}

	add(item: Item, nowMs: number): void {
		item.isLate = nowMs > item.inTimeStartMs;
		this.#byLastDue.add(item);
		this.#addNext(item);
	}

	remove(item: Item): void {
		this.#byLastDue.remove(item);
		this.#removeNext(item);
	}

	/** Moves a call that can no longer be in time. */
	markLate(item: Item): void {
		if (!item.isLate) {
			this.#removeNext(item);
			item.isLate = true;
			this.#addNext(item);
		}
	}

	/** The call that goes next. @param slots how many slots serve these calls; may be a fraction */
	next(nowMs: number, slots: number): Item | undefined {
		const late = this.#late.first;
		return this.#inTime.first === undefined || (late !== undefined && !this.#isOverloaded(nowMs, slots, late.serviceMs)) ? late : this.#inTime.first;
	}

	/** Whether not all of the calls that can be in time would be, if others that hold slots for `moreWorkMs` went before them. */
	isOverloaded(nowMs: number, slots: number): boolean {
		return this.#isOverloaded(nowMs, slots, 0);
	}

	#isOverloaded(nowMs: number, slots: number, moreWorkMs: number): boolean {
		const urgent = this.#inTime.first;
		return urgent !== undefined && nowMs + ((this.#inTimeWorkMs + moreWorkMs) / slots) > urgent.inTimeStartMs;
	}

	#addNext(item: Item): void {
		(item.isLate ? this.#late : this.#inTime).add(item);
		this.#inTimeWorkMs += item.isLate ? 0 : item.serviceMs;
	}

	#removeNext(item: Item): void {
		(item.isLate ? this.#late : this.#inTime).remove(item);
		this.#inTimeWorkMs = this.#inTime.size === 0 ? 0 : this.#inTimeWorkMs - (item.isLate ? 0 : item.serviceMs);
	}
}

function isDueBefore(a: DueItem, b: DueItem): boolean {
	return a.dueMs === b.dueMs ? a.order < b.order : a.dueMs < b.dueMs;
}
