import {type Announcement, type Deregistration, type EndedStart} from './target.js';

/** The effect of an announcement or deregistration; `stale` means that it was outdated and ignored. */
export type LifecycleChange = 'none' | 'joined' | 'updated' | 'draining' | 'left' | 'stale';

/** The start of a target whose id is known from a health check only. */
export const UNKNOWN_START_MS = 0;

/** How far the drain of a target is: when it is over, the target gets no more calls. */
export type DrainProgress = 'none' | 'underway' | 'over';

/** The end of a drain that an earlier process may have acknowledged at any time before. */
const OVER_MS = Number.NEGATIVE_INFINITY;

/**
 * Tracks the state of the local target, from the target's own announcements
 * alone. A daemon that has just started sends its target no calls before the
 * first announcement, and none at all if the target was draining by then: the
 * daemon's earlier process may have acknowledged that long ago.
 */
export class TargetLifecycle {
	readonly #drainMs: number;
	#current: Announcement | undefined;
	/** How many announcements of the current start were heard. */
	#heardCount = 0;
	/** Undefined unless the target is draining. */
	#drainEndMs: number | undefined;
	/** The last start that was draining. */
	#drained: EndedStart | undefined;
	#ended: EndedStart | undefined;

	/** @param drainMs how long a draining target may still be given calls after the acknowledgement, in ms */
	constructor(drainMs: number) {
		this.#drainMs = drainMs;
	}

	get current(): Announcement | undefined {
		return this.#current;
	}

	get isDraining(): boolean {
		return this.#drainEndMs !== undefined;
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
		const isNewStart = held?.id !== next.id || (held.bornMs !== next.bornMs && held.bornMs !== UNKNOWN_START_MS);
		this.#heardCount = isNewStart || held.bornMs === UNKNOWN_START_MS ? 1 : this.#heardCount + 1;
		this.#drainEndMs = isNewStart ? undefined : this.#drainEndMs;
		const wasDraining = this.#wasDraining(next);
		const beginsDrain = this.#drainEndMs === undefined && (next.state === 'draining' || wasDraining);
		if (beginsDrain) {
			this.#drainEndMs = wasDraining || !this.#hasHeardAllBefore(next, held) ? OVER_MS : nowMs + this.#drainMs;
		}

		this.#noteDrained();
		if (isNewStart) {
			return 'joined';
		}

		if (beginsDrain) {
			return 'draining';
		}

		return held.service === next.service && held.slots === next.slots && held.bornMs === next.bornMs ? 'none' : 'updated';
	}

	/**
	 * Begins the drain of the target because it said in an answer that it leaves.
	 * @param isFirstAnswer whether this process has no earlier answer of the target, which then may have been leaving for long
	 * @returns whether that is new
	 */
	startDrain(id: string, nowMs: number, isFirstAnswer: boolean): boolean {
		if (this.#current?.id !== id || this.#drainEndMs !== undefined) {
			return false;
		}

		this.#drainEndMs = isFirstAnswer ? OVER_MS : nowMs + this.#drainMs;
		this.#noteDrained();
		return true;
	}

	/** Applies a deregistration; the target then drains, so it may serve for the drain time if it didn't drain before. */
	deregister(deregistration: Deregistration, nowMs: number): LifecycleChange {
		const held = this.#current;
		if (held !== undefined && (held.id !== deregistration.id || held.bornMs > (deregistration.bornMs ?? Number.POSITIVE_INFINITY))) {
			return 'stale';
		}

		// Without a known start, every start under this id that began before now counts as ended.
		const isKnown = held !== undefined && held.bornMs !== UNKNOWN_START_MS;
		this.#ended = {id: deregistration.id, bornMs: deregistration.bornMs ?? (isKnown ? held.bornMs : nowMs)};
		this.#drainEndMs ??= this.#heardCount > 1 ? nowMs + this.#drainMs : OVER_MS;
		return held === undefined ? 'none' : 'left';
	}

	/** Takes in which start had deregistered before this daemon's own start. @returns whether it was taken for running until now */
	restoreEnded(ended: EndedStart): boolean {
		this.#ended ??= ended;
		const isEnded = this.#current !== undefined && this.#drainEndMs === undefined && this.#hasEnded(this.#current);
		if (isEnded) {
			this.forget();
		}

		return isEnded;
	}

	/** Takes in which start was draining before this daemon's own start. @returns whether it was taken for ready until now */
	restoreDrained(drained: EndedStart): boolean {
		if (drained.bornMs > (this.#drained?.bornMs ?? UNKNOWN_START_MS)) {
			this.#drained = drained;
		}

		const current = this.#current;
		if (current === undefined || this.#drainEndMs !== undefined || !this.#wasDraining(current)) {
			return false;
		}

		if (current.bornMs === UNKNOWN_START_MS) {
			this.forget();
		} else {
			this.#drainEndMs = OVER_MS;
		}

		return true;
	}

	/** Discards the current target when another one, or none, answers at its address. A start that was draining doesn't come back. */
	forget(): void {
		if (this.#drained !== undefined && this.#drained.bornMs > (this.#ended?.bornMs ?? UNKNOWN_START_MS)) {
			this.#ended = this.#drained;
		}

		this.#current = undefined;
		this.#drainEndMs = undefined;
	}

	/** How far the drain is at this time, in ms on the clock of the announcements. */
	drainProgress(nowMs: number): DrainProgress {
		if (this.#drainEndMs === undefined) {
			return 'none';
		}

		return nowMs < this.#drainEndMs ? 'underway' : 'over';
	}

	/** Whether a call that was routed to this instance may be given to the target now. */
	mayServe(id: string, nowMs: number): boolean {
		return this.#current?.id === id && this.drainProgress(nowMs) !== 'over';
	}

	// A health check, or one announcement that may be late, doesn't show that an earlier process heard of no drain.
	#hasHeardAllBefore(next: Announcement, held: Announcement | undefined): boolean {
		return this.#heardCount > 2 || (this.#heardCount === 2 && next.seq === held!.seq + 1);
	}

	#noteDrained(): void {
		if (this.#current !== undefined && this.#drainEndMs !== undefined && this.#current.bornMs !== UNKNOWN_START_MS) {
			this.#drained = {id: this.#current.id, bornMs: this.#current.bornMs};
		}
	}

	#isStale(next: Announcement, held: Announcement | undefined): boolean {
		// A health check doesn't tell which start it found.
		if (this.#hasEnded(next) || (next.bornMs === UNKNOWN_START_MS && this.#wasDraining(next))) {
			return true;
		}

		if (held === undefined) {
			return false;
		}

		return next.bornMs < held.bornMs || (next.id === held.id && next.bornMs === held.bornMs && next.seq <= held.seq);
	}

	#wasDraining({id, bornMs}: EndedStart): boolean {
		return id === this.#drained?.id && bornMs <= this.#drained.bornMs;
	}

	#hasEnded({id, bornMs}: EndedStart): boolean {
		return id === this.#ended?.id && bornMs <= this.#ended.bornMs;
	}
}
