import {
	type CrashReport, type CrashScene, type Survival, chanceWithout, startOf,
} from './crashreport.js';
import {
	type HeldRequest, type Hold, holdMs, maxHoldMs, replaces,
} from './hold.js';
import {Suspects} from './suspects.js';

/** The chance that the crashes had come without the suspect below which they are proof. */
const PROOF_CHANCE = 0.002;
/** How long a hold is remembered after its end, in ms: a request that crashes targets again is held for longer. */
const HOLD_MEMORY_MS = 600_000;
/** How long it is remembered that a request is no longer held, in ms, so that a late word of its hold changes nothing. */
const LIFTED_MEMORY_MS = 120_000;
/** The most holds that are remembered; those that end first are forgotten first. */
const MAX_HOLDS = 256;

/** Whether a request runs as usual, runs apart from all others, or is refused. */
export type QuarantineVerdict = 'pass' | 'trial' | 'refuse';

type KnownHold = {readonly hold: Hold; readonly untilMs: number};

/** The only suspect that was in flight at a crash, and with what else. */
export type SingleSuspect = Omit<CrashScene, 'crashesPerMs'> & {readonly request: string; readonly subject: HeldRequest};

/** What daemons tell each other: crashes, which requests had no part in them, and what is held or no longer is. */
export type QuarantineNews = {readonly crashes: readonly CrashReport[]; readonly survivals: readonly Survival[]; readonly holds: readonly Hold[]};

/** A crash, and what its daemon concludes from it. */
export type CrashFinding = {readonly report: CrashReport; readonly hold: Hold | undefined};

/**
 * Finds the requests that crash each target that runs them, and keeps them from targets. A request that was in flight at
 * two crashes is a suspect and is tried alone; a crash in such a trial is proof, an answer clears it. A proved
 * one is refused for a while, and then tried again.
 * Handles the load pattern in which one request, sent again by its client or by daemons, takes target after target out of service.
 */
export class Quarantine {
	readonly #firstHoldMs: number | undefined;
	readonly #holds = new Map<string, KnownHold>();
	readonly #suspects = new Suspects(request => this.isHeld(request));

	/** @param firstHoldMs how long a request is refused after the first proof, in ms; without it, none is ever suspected or held */
	constructor(firstHoldMs?: number) {
		this.#firstHoldMs = firstHoldMs;
	}

	get isEnabled(): boolean {
		return this.#firstHoldMs !== undefined;
	}

	/** Whether some request may get another verdict than `pass`. */
	get isActive(): boolean {
		return this.#suspects.mayHaveSuspects || this.#holds.size > 0;
	}

	/** Whether nothing is known that an answer could refute. */
	get isIdle(): boolean {
		return this.#suspects.isEmpty && this.#holds.size === 0;
	}

	verdictOf(request: string, nowMs: number): QuarantineVerdict {
		const known = this.#holds.get(request);
		if (known?.hold.isHeld === true) {
			return nowMs < known.untilMs ? 'refuse' : 'trial';
		}

		return this.#suspects.isSuspect(request) ? 'trial' : 'pass';
	}

	/** Whether the request was proved to crash targets, and nothing has refuted that since. */
	isHeld(request: string): boolean {
		return this.#holds.get(request)?.hold.isHeld === true;
	}

	/** The number of crashes that count against the request. */
	crashesOf(request: string): number {
		return this.#suspects.countOf(request);
	}

	/** The number of crashes of this start of a target that the request wasn't in flight at. */
	crashesWithout(request: string, start: string): number {
		return this.#suspects.countWithout(request, start);
	}

	/** Whether this start of a target is known to have crashed. */
	hasCrashed(target: {readonly id: string; readonly bornMs?: number | undefined}): boolean {
		return !this.isIdle && this.#suspects.hasCrashed(startOf(target));
	}

	/** How long the request is still refused, in ms; 0 if it isn't. */
	leftMs(request: string, nowMs: number): number {
		return this.isHeld(request) ? Math.max(0, this.#holds.get(request)!.untilMs - nowMs) : 0;
	}

	/** Concludes from a crash of the target beside this daemon. @param targets how many serve the same service */
	concludeCrash(crash: Pick<CrashReport, 'id' | 'service' | 'start' | 'requests'>, suspect: SingleSuspect | undefined, targets: number, nowMs: number): CrashFinding {
		const crashesPerMs = this.#suspects.crashesPerMs(crash.service, targets);
		const report: CrashReport = {
			...crash, ageMs: 0, suspect: suspect?.request, chance: suspect === undefined ? 1 : chanceWithout({...suspect, crashesPerMs}),
		};
		this.recordCrash(report, nowMs);
		return {report, hold: suspect === undefined ? undefined : this.#concludeHold(suspect, nowMs)};
	}

	/** Takes in what a peer tells. @returns what was new */
	record({crashes, survivals, holds}: QuarantineNews, nowMs: number): QuarantineNews {
		return {
			crashes: crashes.filter(crash => this.recordCrash(crash, nowMs)),
			survivals: survivals.filter(survival => this.recordSurvival(survival, nowMs)),
			holds: holds.filter(hold => this.recordHold(hold, nowMs)),
		};
	}

	/** @returns whether the crash is new */
	recordCrash(report: CrashReport, nowMs: number): boolean {
		return this.isEnabled && this.#suspects.recordCrash(report, nowMs);
	}

	/** Concludes from a run that the target beside this daemon has answered. @returns what the others should hear, if anything */
	concludeServed(request: string, startedMs: number, nowMs: number): {readonly survival: Survival | undefined; readonly hold: Hold | undefined} {
		const survival = this.#suspects.survivalOf(request, startedMs);
		if (survival !== undefined) {
			this.recordSurvival(survival, nowMs);
		}

		const known = this.#holds.get(request);
		const isOnTrial = known?.hold.isHeld === true && startedMs >= known.untilMs;
		return {survival, hold: isOnTrial ? this.lift(request, nowMs)?.holds[0] : undefined};
	}

	/** @returns whether the survival is new */
	recordSurvival(survival: Survival, nowMs: number): boolean {
		return this.isEnabled && this.#suspects.recordSurvival(survival, nowMs);
	}

	/** @returns whether the hold replaces what was known */
	recordHold(hold: Hold, nowMs: number): boolean {
		const known = this.#holds.get(hold.request);
		if (this.#firstHoldMs === undefined || (known !== undefined && !replaces(hold, known.hold))) {
			return false;
		}

		this.#holds.delete(hold.request);
		this.#holds.set(hold.request, {hold, untilMs: nowMs + Math.min(maxHoldMs(this.#firstHoldMs), hold.leftMs)});
		if (this.#holds.size > MAX_HOLDS) {
			const [[first]] = [...this.#holds].toSorted(([, a], [, b]) => a.untilMs - b.untilMs);
			this.#holds.delete(first);
		}

		this.#suspects.onHoldsChanged();
		return true;
	}

	/** Lets a held request through again, and forgets what was suspected of it. @returns what the others should hear; undefined if it isn't held */
	lift(request: string, nowMs: number): QuarantineNews | undefined {
		const known = this.#holds.get(request)?.hold;
		if (known?.isHeld !== true) {
			return undefined;
		}

		const hold = {
			...known, generation: known.generation + 1, isHeld: false, leftMs: 0,
		};
		this.recordHold(hold, nowMs);
		return {crashes: [], survivals: [this.#suspects.clear(request, nowMs)], holds: [hold]};
	}

	/** All that a peer needs to judge like this daemon. */
	describe(nowMs: number): QuarantineNews {
		return {
			crashes: this.#suspects.reports(nowMs),
			survivals: this.#suspects.survivals(),
			holds: [...this.#holds.values()].map(({hold, untilMs}) => ({...hold, leftMs: Math.max(0, untilMs - nowMs)})),
		};
	}

	/** The requests that are tried alone because they were in flight at several crashes. */
	suspects(): Array<{readonly request: string; readonly crashes: number}> {
		return this.#suspects.list().filter(({request}) => !this.isHeld(request));
	}

	removeExpired(nowMs: number): void {
		this.#suspects.removeExpired(nowMs);
		for (const [request, {hold, untilMs}] of this.#holds) {
			if (nowMs - untilMs >= (hold.isHeld ? HOLD_MEMORY_MS : LIFTED_MEMORY_MS)) {
				this.#holds.delete(request);
			}
		}

		this.#suspects.onHoldsChanged();
	}

	// A request on trial after a hold was proved before, so that one more crash is enough.
	#concludeHold({request, subject}: SingleSuspect, nowMs: number): Hold | undefined {
		const known = this.#holds.get(request);
		const isOnTrial = known?.hold.isHeld === true;
		if (this.#firstHoldMs === undefined || (isOnTrial ? nowMs < known.untilMs : this.#suspects.chanceWithout(request) > PROOF_CHANCE)) {
			return undefined;
		}

		const strikes = (isOnTrial ? known.hold.strikes : 0) + 1;
		const hold = {
			request, generation: (known?.hold.generation ?? 0) + 1, isHeld: true, strikes, leftMs: holdMs(strikes, this.#firstHoldMs), subject,
		};
		this.recordHold(hold, nowMs);
		return hold;
	}
}
