const SLOT_MS = 8;

/**
 * Ids that fall due at a time, in ms. Adding and removing cost constant time;
 * an id whose timeout no longer matters is simply ignored by its owner.
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

	/** Removes and returns every id that is due. */
	takeDue(nowMs: number): number[] {
		const current = Math.floor(nowMs / SLOT_MS);
		const first = this.#nextSlot;
		this.#nextSlot = current + 1;
		if (first === undefined || current - first > this.#slots.size) {
			return this.#sweep(current);
		}

		const ids: number[] = [];
		for (let slot = first; slot <= current; slot++) {
			this.#take(slot, ids);
		}

		return ids;
	}

	// After a pause most slots of the gap are empty; look at the filled ones only.
	#sweep(current: number): number[] {
		const ids: number[] = [];
		const filled = [...this.#slots.keys()].filter(slot => slot <= current).toSorted((a, b) => a - b);
		for (const slot of filled) {
			this.#take(slot, ids);
		}

		return ids;
	}

	#take(slot: number, ids: number[]): void {
		const found = this.#slots.get(slot);
		if (found !== undefined) {
			ids.push(...found);
			this.#slots.delete(slot);
		}
	}
}
