import {type HeapItem, IndexedHeap} from './indexedheap.js';
import {type ServiceRate, WorkByLastStart, bucketOf} from './workbylaststart.js';

/** What the order by due time has to know of a waiting call. */
export type DueItem = HeapItem & {
	/** When the objective of its root ends, or its deadline if that is earlier, in ms. */
	readonly dueMs: number;
	/** The latest start at which it can still be answered before its deadline, in ms. */
	readonly lastStartMs: number;
	/** The bucket of its last start. */
	readonly bucket: number;
	/** Expected time at the target, in ms. */
	readonly serviceMs: number;
	/** Order of arrival. */
	readonly order: number;
};

/** The slots in `heapPlaces` that a `DueOrder` uses. */
const DUE_SLOT = 0;
const URGENT_SLOT = 1;
const PATIENT_SLOT = 2;

/**
 * Orders waiting calls: the earliest due first, as long as no other must start before it to
 * be answered at all; otherwise the one that must start first. An objective says whom
 * to serve first, but gives up no caller who still waits.
 * Handles the load pattern in which a burst makes calls wait for about as long as their
 * callers do, some of them patient and some not.
 */
export class DueOrder<Item extends DueItem> {
	readonly #byDue = new IndexedHeap<Item>(DUE_SLOT, (a, b) => a.dueMs === b.dueMs ? a.order < b.order : a.dueMs < b.dueMs);
	readonly #byLastStart = new IndexedHeap<Item>(URGENT_SLOT, mustStartBefore);
	readonly #byPatience = new IndexedHeap<Item>(PATIENT_SLOT, (a, b) => mustStartBefore(b, a));
	readonly #workByLastStart = new WorkByLastStart();
	#workMs = 0;

	get size(): number {
		return this.#byDue.size;
	}

	/** The call whose caller can wait for longest. */
	get mostPatient(): Item | undefined {
		return this.#byPatience.first;
	}

	/** The waiting calls, in no particular order. */
	items(): Iterable<Item> {
		return this.#byDue.items();
	}

	/** The work of the calls that must start before one with this last start, in ms. */
	workBeforeMs(lastStartMs: number, nowMs: number): number {
		return Math.min(this.#workMs, this.#workByLastStart.sumUntil(bucketOf(lastStartMs, nowMs), nowMs));
	}

	/** Whether a call could be added without making any that must start after it start too late. */
	hasRoomFor({lastStartMs, serviceMs}: Pick<DueItem, 'lastStartMs' | 'serviceMs'>, rate: ServiceRate, nowMs: number): boolean {
		return this.#workByLastStart.roomAfter(bucketOf(lastStartMs, nowMs), rate, nowMs) >= serviceMs;
	}

	add(item: Item): void {
		this.#byDue.add(item);
		this.#byLastStart.add(item);
		this.#byPatience.add(item);
		this.#workByLastStart.add(item.bucket, item.serviceMs);
		this.#workMs += item.serviceMs;
	}

	remove(item: Item): void {
		this.#byDue.remove(item);
		this.#byLastStart.remove(item);
		this.#byPatience.remove(item);
		this.#workByLastStart.remove(item.bucket, item.serviceMs);
		this.#workMs = this.size === 0 ? 0 : this.#workMs - item.serviceMs;
	}

	/** The call that goes next. @param slots how many slots serve these calls; may be a fraction */
	next(nowMs: number, slots: number): Item | undefined {
		const due = this.#byDue.first;
		const urgent = this.#byLastStart.first;
		if (due === undefined || due === urgent) {
			return due;
		}

		return this.#workByLastStart.roomBefore(due.bucket, {perMs: slots, startMs: nowMs}, nowMs) >= due.serviceMs ? due : urgent;
	}
}

function mustStartBefore(a: DueItem, b: DueItem): boolean {
	return a.lastStartMs === b.lastStartMs ? a.order < b.order : a.lastStartMs < b.lastStartMs;
}
