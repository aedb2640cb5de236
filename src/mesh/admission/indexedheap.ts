/** What an indexed heap keeps in its items: the place of the item in each heap that it may be in, -1 for none. */
export type HeapItem = {readonly heapPlaces: number[]};

/** A binary heap whose items know their place, so that any of them can be removed in logarithmic time. */
export class IndexedHeap<Item extends HeapItem> {
	readonly #items: Item[] = [];
	readonly #isBefore: (a: Item, b: Item) => boolean;
	readonly #slot: number;

	/** @param slot the index in `heapPlaces` that belongs to this heap */
	constructor(slot: number, isBefore: (a: Item, b: Item) => boolean) {
		this.#slot = slot;
		this.#isBefore = isBefore;
	}

	get size(): number {
		return this.#items.length;
	}

	/** The first item in the order of the heap. */
	get first(): Item | undefined {
		return this.#items[0];
	}

	/** The items, in no particular order. */
	items(): Iterable<Item> {
		return this.#items;
	}

	add(item: Item): void {
		this.#items.push(item);
		this.#siftUp(item, this.#items.length - 1);
	}

	/** Removes an item that is in the heap. */
	remove(item: Item): void {
		const place = item.heapPlaces[this.#slot];
		const last = this.#items.pop()!;
		item.heapPlaces[this.#slot] = -1;
		if (last !== item) {
			this.#put(last, place);
			this.update(last);
		}
	}

	/** Restores the order after the item has changed. */
	update(item: Item): void {
		const place = item.heapPlaces[this.#slot];
		this.#siftUp(item, place);
		if (item.heapPlaces[this.#slot] === place) {
			this.#siftDown(item, place);
		}
	}

	#put(item: Item, place: number): void {
		this.#items[place] = item;
		item.heapPlaces[this.#slot] = place;
	}

	#siftUp(item: Item, from: number): void {
		let place = from;
		while (place > 0) {
			const parent = (place - 1) >> 1;
			if (!this.#isBefore(item, this.#items[parent])) {
				break;
			}

			this.#put(this.#items[parent], place);
			place = parent;
		}

		this.#put(item, place);
	}

	#siftDown(item: Item, from: number): void {
		const {length} = this.#items;
		let place = from;
		for (let child = (place * 2) + 1; child < length; child = (place * 2) + 1) {
			if (child + 1 < length && this.#isBefore(this.#items[child + 1], this.#items[child])) {
				child++;
			}

			if (!this.#isBefore(this.#items[child], item)) {
				break;
			}

			this.#put(this.#items[child], place);
			place = child;
		}

		this.#put(item, place);
	}
}
