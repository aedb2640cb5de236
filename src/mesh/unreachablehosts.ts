/** How long a host must be unreachable before its entry is removed from the store, in ms: longer than any restart or network partition that ends by itself. */
const REMOVAL_DELAY_MS = 60_000;

/**
 * The hosts whose links broke. They are dialled until they are reachable again.
 * The entry of a host that stays unreachable is removed from the store; each
 * daemon adds a random delay, so that usually one of them has removed the entry
 * before the others try.
 * Handles the load pattern in which hosts are replaced every day and their
 * entries would be kept forever.
 */
export class UnreachableHosts {
	readonly #random: () => number;
	readonly #removeAtMs = new Map<string, number>();

	constructor(random: () => number) {
		this.#random = random;
	}

	get hosts(): string[] {
		return [...this.#removeAtMs.keys()];
	}

	/** Adds a host whose link broke; has no effect on one that is already unreachable. */
	add(host: string, nowMs: number): void {
		if (!this.#removeAtMs.has(host)) {
			this.#removeAtMs.set(host, nowMs + (REMOVAL_DELAY_MS * (1 + this.#random())));
		}
	}

	/** @returns whether the host was unreachable */
	delete(host: string): boolean {
		return this.#removeAtMs.delete(host);
	}

	/** Returns the hosts whose entries this daemon should remove now, and schedules the next attempt for each. */
	dueForRemoval(nowMs: number): string[] {
		const due = [...this.#removeAtMs].filter(([, atMs]) => nowMs >= atMs).map(([host]) => host);
		for (const host of due) {
			this.#removeAtMs.set(host, nowMs + (REMOVAL_DELAY_MS * (1 + this.#random())));
		}

		return due;
	}
}
