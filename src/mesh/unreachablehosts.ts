/** How long a host must have been out of reach before its entry is taken out of the store, in ms: longer than any restart or cut that heals by itself. */
const COLLECT_MS = 60_000;

/**
 * The hosts whose links broke. They are dialled until they are back; the
 * entry of one that stays away is collected, by the daemons one by one, so
 * that mostly the first has done it when the next would.
 * Load pattern: hosts replaced every day, whose entries would be kept for ever.
 */
export class UnreachableHosts {
	readonly #random: () => number;
	readonly #collectAtMs = new Map<string, number>();

	constructor(random: () => number) {
		this.#random = random;
	}

	get hosts(): string[] {
		return [...this.#collectAtMs.keys()];
	}

	/** A host's link broke. */
	add(host: string, nowMs: number): void {
		if (!this.#collectAtMs.has(host)) {
			this.#collectAtMs.set(host, nowMs + (COLLECT_MS * (1 + this.#random())));
		}
	}

	/** @returns whether it was lost */
	delete(host: string): boolean {
		return this.#collectAtMs.delete(host);
	}

	/** The hosts whose entries this daemon should take out now; each is named again after a while. */
	dueForRemoval(nowMs: number): string[] {
		const due = [...this.#collectAtMs].filter(([, atMs]) => nowMs >= atMs).map(([host]) => host);
		for (const host of due) {
			this.#collectAtMs.set(host, nowMs + (COLLECT_MS * (1 + this.#random())));
		}

		return due;
	}
}
