import {RANK_COUNT, rankOf} from './level.js';

/** An entry of a priority queue; a higher level has a higher priority. */
export type QueueEntry = {
	readonly level: number;
};

/**
 * Queues entries by priority. The highest rank is served first, and the oldest
 * entry first within a rank, so that newer entries don't overtake an admitted one
 * until it expires. The lowest level is evicted first, so that all hops shed the
 * calls of the same root requests.
 */
export class PriorityQueue<T extends QueueEntry> {
	// Sorted by ascending level, so that the next entry to evict is first.
	readonly #byLevel: T[] = [];
	readonly #byRank: T[][] = Array.from({length: RANK_COUNT}, () => []);

	get length(): number {
		return this.#byLevel.length;
	}

	/** The lowest queued level, or undefined if the queue is empty. */
	get lowestLevel(): number | undefined {
		return this.#byLevel[0]?.level;
	}

	push(entry: T): void {
		this.#byLevel.splice(this.#indexOfFirstAtLeast(entry.level), 0, entry);
		this.#byRank[rankOf(entry.level)].push(entry);
	}

	/** Removes and returns the entry to serve next. */
	pop(): T | undefined {
		for (let rank = RANK_COUNT - 1; rank >= 0; rank--) {
			const entry = this.#byRank[rank].shift();
			if (entry !== undefined) {
				removeFrom(this.#byLevel, entry, this.#indexOfFirstAtLeast(entry.level));
				return entry;
			}
		}

		return undefined;
	}

	/** Removes and returns the entry of the lowest level; the newest one if there are several. */
	evict(): T | undefined {
		const entry = this.#byLevel.shift();
		if (entry !== undefined) {
			removeFrom(this.#byRank[rankOf(entry.level)], entry);
		}

		return entry;
	}

	/** Returns how many entries are queued at this level or above. */
	countAtLeast(level: number): number {
		return this.#byLevel.length - this.#indexOfFirstAtLeast(level);
	}

	remove(entry: T): boolean {
		return removeFrom(this.#byRank[rankOf(entry.level)], entry)
			&& removeFrom(this.#byLevel, entry, this.#indexOfFirstAtLeast(entry.level));
	}

	/** Removes and returns all entries. */
	clear(): T[] {
		for (const entries of this.#byRank) {
			entries.length = 0;
		}

		return this.#byLevel.splice(0);
	}

	#indexOfFirstAtLeast(level: number): number {
		let low = 0;
		let high = this.#byLevel.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (this.#byLevel[middle].level < level) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

function removeFrom<T>(entries: T[], entry: T, from = 0): boolean {
	const index = entries.indexOf(entry, from);
	if (index === -1) {
		return false;
	}

	entries.splice(index, 1);
	return true;
}
