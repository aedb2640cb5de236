/** Resolution of the wheel, in ms. */
const SLOT_MS = 8;

/**
 * Keeps ids until the time at which they are due. Adding and removing take
 * constant time. A timer can't be cancelled; its owner ignores an id that no
 * longer matters.
 */
export class TimerWheel {
	readonly #slots = new Map<number, number[]>();
	#nextSlot: number | undefined;

	add(id: number, dueMs: number): void {
		const slot = Math.max(Math.floor(dueMs / SLOT_MS) + 1, this.#nextSlot ?? 0);
		const ids = this.#slots.get(slot);
		if (ids === undefined) {
			this.#slots.set(slot, [id]);
		} else {
			ids.push(id);
		}
	}

	/** Removes and returns the ids that are due; an id may be returned up to one slot late. */
	takeDue(nowMs: number): number[] {
		const current = Math.floor(nowMs / SLOT_MS);
		const first = this.#nextSlot;
		this.#nextSlot = current + 1;
		if (first === undefined || current - first > this.#slots.size) {
			return this.#takeFilled(current);
		}

		const ids: number[] = [];
		for (let slot = first; slot <= current; slot++) {
			this.#takeSlot(slot, ids);
		}

		return ids;
	}

	// After a pause most slots since the last call are empty, so only the filled ones are visited.
	#takeFilled(current: number): number[] {
		const ids: number[] = [];
		const filled = [...this.#slots.keys()].filter(slot => slot <= current).toSorted((a, b) => a - b);
		for (const slot of filled) {
			this.#takeSlot(slot, ids);
		}

		return ids;
	}

	#takeSlot(slot: number, ids: number[]): void {
		const found = this.#slots.get(slot);
		if (found !== undefined) {
			ids.push(...found);
			this.#slots.delete(slot);
		}
	}
}
