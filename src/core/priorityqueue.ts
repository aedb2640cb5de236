import {RANK_COUNT, rankOf} from './level.js';

/** Anything that waits by level. */
export type QueueEntry = {
	readonly level: number;
};

/**
 * Waiting work. The highest rank is served first and the oldest first within a
 * rank, so that what was admitted isn't overtaken until it expires; the lowest
 * level is evicted first, so that all hops shed the same roots.
 */
export class PriorityQueue<T extends QueueEntry> {
	// Ascending by level; the next entry to evict is first.
	readonly #byLevel: T[] = [];
	readonly #byAge: T[][] = Array.from({length: RANK_COUNT}, () => []);

	get length(): number {
		return this.#byLevel.length;
	}

	/** The lowest level that waits, or undefined. */
	get lowestLevel(): number | undefined {
		return this.#byLevel[0]?.level;
	}

	push(entry: T): void {
		this.#byLevel.splice(this.#firstAtLeast(entry.level), 0, entry);
		this.#byAge[rankOf(entry.level)].push(entry);
	}

	/** Removes the entry to serve next. */
	pop(): T | undefined {
		for (let rank = RANK_COUNT - 1; rank >= 0; rank--) {
			const entry = this.#byAge[rank].shift();
			if (entry !== undefined) {
				removeFrom(this.#byLevel, entry, this.#firstAtLeast(entry.level));
				return entry;
			}
		}

		return undefined;
	}

	/** Removes the entry of the lowest level, the newest of them. */
	evict(): T | undefined {
		const entry = this.#byLevel.shift();
		if (entry !== undefined) {
			removeFrom(this.#byAge[rankOf(entry.level)], entry);
		}

		return entry;
	}

	/** How many entries wait at this level or above. */
	countAtLeast(level: number): number {
		return this.#byLevel.length - this.#firstAtLeast(level);
	}

	remove(entry: T): boolean {
		return removeFrom(this.#byAge[rankOf(entry.level)], entry)
			&& removeFrom(this.#byLevel, entry, this.#firstAtLeast(entry.level));
	}

	/** Removes and returns everything. */
	clear(): T[] {
		for (const entries of this.#byAge) {
			entries.length = 0;
		}

		return this.#byLevel.splice(0);
	}

	#firstAtLeast(level: number): number {
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
