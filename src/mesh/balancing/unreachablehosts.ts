/** How long a host must be unreachable before its entry is removed from the store, in ms: longer than any restart or network partition that ends by itself. */
const REMOVAL_DELAY_MS = 60_000;
/** The delay between the first attempts to reach a host, in ms; for hosts that are no neighbors it doubles each time. */
const MIN_DIAL_DELAY_MS = 450;
/** Upper limit of that delay for each daemon of the fleet, in ms; it bounds how often the fleet as a whole dials one lost host. */
const MAX_DIAL_DELAY_PER_DAEMON_MS = 50;

type LostHost = {removeAtMs: number; dialAtMs: number; dialDelayMs: number};

/**
 * The hosts whose links broke. They are dialled until they are reachable again:
 * by their neighbors in the mesh at short intervals, and by all others ever less often.
 * The entry of a host that stays unreachable is removed from the store; each
 * daemon adds a random delay, so that usually one of them has removed the entry
 * before the others try.
 * Handles the load patterns in which many hosts of a large fleet are lost at
 * once, and in which hosts are replaced every day and their entries would be
 * kept forever.
 */
export class UnreachableHosts {
	readonly #random: () => number;
	readonly #lost = new Map<string, LostHost>();

	constructor(random: () => number) {
		this.#random = random;
	}

	get hosts(): string[] {
		return [...this.#lost.keys()];
	}

	has(host: string): boolean {
		return this.#lost.has(host);
	}

	/** Adds a host whose link broke; has no effect on one that is already unreachable. */
	add(host: string, nowMs: number): void {
		if (!this.#lost.has(host)) {
			this.#lost.set(host, {removeAtMs: this.#chooseRemovalMs(nowMs), dialAtMs: nowMs, dialDelayMs: MIN_DIAL_DELAY_MS});
		}
	}

	/** @returns whether the host was unreachable */
	delete(host: string): boolean {
		return this.#lost.delete(host);
	}

	/** Whether the host should be dialled now; if so, schedules the next attempt. */
	isDialDue(host: string, isNeighbor: boolean, daemonCount: number, nowMs: number): boolean {
		const lost = this.#lost.get(host);
		if (lost === undefined || nowMs < lost.dialAtMs) {
			return false;
		}

		lost.dialAtMs = nowMs + (isNeighbor ? MIN_DIAL_DELAY_MS : lost.dialDelayMs * (0.5 + this.#random()));
		lost.dialDelayMs = Math.min(lost.dialDelayMs * 2, Math.max(MIN_DIAL_DELAY_MS, MAX_DIAL_DELAY_PER_DAEMON_MS * daemonCount));
		return true;
	}

	/** Returns the hosts whose entries this daemon should remove now, and schedules the next attempt for each. */
	dueForRemoval(nowMs: number): string[] {
		const due = [...this.#lost].filter(([, {removeAtMs}]) => nowMs >= removeAtMs);
		for (const [, lost] of due) {
			lost.removeAtMs = this.#chooseRemovalMs(nowMs);
		}

		return due.map(([host]) => host);
	}

	#chooseRemovalMs(nowMs: number): number {
		return nowMs + (REMOVAL_DELAY_MS * (1 + this.#random()));
	}
}
