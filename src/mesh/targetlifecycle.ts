import {type Announcement, type Deregistration} from './target.js';

/** What an announcement changed. */
export type LifecycleChange = 'none' | 'joined' | 'updated' | 'draining' | 'left' | 'stale';

/**
 * What the daemon knows of the target beside it, from the target's own words
 * alone. A daemon that has just started knows nothing, and gives its target no
 * work before it has heard it: an earlier acknowledgement may forbid it.
 */
export class TargetLifecycle {
	readonly #drainMs: number;
	#current: Announcement | undefined;
	#heardMs = 0;
	#leavingMs: number | undefined;
	#endedBornMs = 0;
	#endedId = '';

	/** @param drainMs how long after its acknowledgement a leaving target may still be given work, in ms */
	constructor(drainMs: number) {
		this.#drainMs = drainMs;
	}

	get current(): Announcement | undefined {
		return this.#current;
	}

	get isDraining(): boolean {
		return this.#leavingMs !== undefined;
	}

	/** When the target was last heard, in ms. */
	get lastHeardMs(): number {
		return this.#heardMs;
	}

	/** Takes an announcement in; one that is older than what is known changes nothing. */
	announce(next: Announcement, nowMs: number): LifecycleChange {
		const held = this.#current;
		if (this.#isStale(next, held)) {
			return 'stale';
		}

		this.#heardMs = nowMs;
		this.#current = next;
		if (held?.id !== next.id || held.bornMs !== next.bornMs) {
			this.#leavingMs = next.state === 'draining' ? nowMs : undefined;
			return 'joined';
		}

		if (next.state === 'draining' && this.#leavingMs === undefined) {
			this.#leavingMs = nowMs;
			return 'draining';
		}

		return held.service === next.service && held.slots === next.slots ? 'none' : 'updated';
	}

	/** The target says that it ends; it serves on for a while, as one that drains does. */
	deregister(farewell: Deregistration, nowMs: number): LifecycleChange {
		const held = this.#current;
		if (held !== undefined && (held.id !== farewell.id || held.bornMs > (farewell.bornMs ?? Number.POSITIVE_INFINITY))) {
			return 'stale';
		}

		this.#endedId = farewell.id;
		// Whatever was born before now under this id has ended.
		const isKnown = held !== undefined && held.bornMs > 0;
		this.#endedBornMs = farewell.bornMs ?? (isKnown ? held.bornMs : nowMs);
		this.#leavingMs ??= nowMs;
		return held === undefined ? 'none' : 'left';
	}

	/** The target at this address turned out to be another one, or none. */
	forget(): void {
		this.#current = undefined;
		this.#leavingMs = undefined;
	}

	/** Whether a call that means this instance may be given to the target now. */
	mayServe(id: string, nowMs: number): boolean {
		if (this.#current?.id !== id) {
			return false;
		}

		return this.#leavingMs === undefined || nowMs - this.#leavingMs < this.#drainMs;
	}

	#isStale(next: Announcement, held: Announcement | undefined): boolean {
		if (next.id === this.#endedId && next.bornMs <= this.#endedBornMs) {
			return true;
		}

		if (held === undefined) {
			return false;
		}

		return next.bornMs < held.bornMs || (next.id === held.id && next.bornMs === held.bornMs && next.seq <= held.seq);
	}
}
