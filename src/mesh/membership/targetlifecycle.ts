import {type Announcement, type Deregistration, type EndedStart} from './target.js';

/** The effect of an announcement or deregistration; `stale` means that it was outdated and ignored. */
export type LifecycleChange = 'none' | 'joined' | 'updated' | 'draining' | 'left' | 'stale';

/** The start of a target whose id is known from a health check only. */
export const UNKNOWN_START_MS = 0;

/**
 * Tracks the state of the local target, from the target's own announcements
 * alone. A daemon that has just started sends its target no calls before the
 * first announcement: before its restart, it may have acknowledged that the
 * target gets no more calls.
 */
export class TargetLifecycle {
	readonly #drainMs: number;
	#current: Announcement | undefined;
	#drainingSinceMs: number | undefined;
	#ended: EndedStart | undefined;

	/** @param drainMs how long a draining target may still be given calls after the acknowledgement, in ms */
	constructor(drainMs: number) {
		this.#drainMs = drainMs;
	}

	get current(): Announcement | undefined {
		return this.#current;
	}

	get isDraining(): boolean {
		return this.#drainingSinceMs !== undefined;
	}

	/** The last start that has deregistered, and with it all earlier ones under its id. */
	get ended(): EndedStart | undefined {
		return this.#ended;
	}

	/** Applies an announcement, unless it is older than the current one or than the end of its start. */
	announce(next: Announcement, nowMs: number): LifecycleChange {
		const held = this.#current;
		if (this.#isStale(next, held)) {
			return 'stale';
		}

		this.#current = next;
		if (held?.id !== next.id || (held.bornMs !== next.bornMs && held.bornMs !== UNKNOWN_START_MS)) {
			this.#drainingSinceMs = next.state === 'draining' ? nowMs : undefined;
			return 'joined';
		}

		if (next.state === 'draining' && this.#drainingSinceMs === undefined) {
			this.#drainingSinceMs = nowMs;
			return 'draining';
		}

		return held.service === next.service && held.slots === next.slots && held.bornMs === next.bornMs ? 'none' : 'updated';
	}

	/** Begins the drain of the target because it said in an answer that it leaves. @returns whether that is new */
	startDrain(id: string, nowMs: number): boolean {
		if (this.#current?.id !== id || this.#drainingSinceMs !== undefined) {
			return false;
		}

		this.#drainingSinceMs = nowMs;
		return true;
	}

	/** Applies a deregistration; the target then drains, so it may serve for the drain time. */
	deregister(deregistration: Deregistration, nowMs: number): LifecycleChange {
		const held = this.#current;
		if (held !== undefined && (held.id !== deregistration.id || held.bornMs > (deregistration.bornMs ?? Number.POSITIVE_INFINITY))) {
			return 'stale';
		}

		// Without a known start, every start under this id that began before now counts as ended.
		const isKnown = held !== undefined && held.bornMs !== UNKNOWN_START_MS;
		this.#ended = {id: deregistration.id, bornMs: deregistration.bornMs ?? (isKnown ? held.bornMs : nowMs)};
		this.#drainingSinceMs ??= nowMs;
		return held === undefined ? 'none' : 'left';
	}

	/** Takes in which start had deregistered before this daemon's own start. @returns whether it was taken for running until now */
	restoreEnded(ended: EndedStart): boolean {
		this.#ended ??= ended;
		const isEnded = this.#drainingSinceMs === undefined && this.#current !== undefined && this.#hasEnded(this.#current);
		if (isEnded) {
			this.forget();
		}

		return isEnded;
	}

	/** Discards the current target when another one, or none, answers at its address. */
	forget(): void {
		this.#current = undefined;
		this.#drainingSinceMs = undefined;
	}

	/** Whether a call that was routed to this instance may be given to the target now. */
	mayServe(id: string, nowMs: number): boolean {
		if (this.#current?.id !== id) {
			return false;
		}

		return this.#drainingSinceMs === undefined || nowMs - this.#drainingSinceMs < this.#drainMs;
	}

	#isStale(next: Announcement, held: Announcement | undefined): boolean {
		if (this.#hasEnded(next)) {
			return true;
		}

		if (held === undefined) {
			return false;
		}

		return next.bornMs < held.bornMs || (next.id === held.id && next.bornMs === held.bornMs && next.seq <= held.seq);
	}

	#hasEnded({id, bornMs}: EndedStart): boolean {
		return id === this.#ended?.id && bornMs <= this.#ended.bornMs;
	}
}
