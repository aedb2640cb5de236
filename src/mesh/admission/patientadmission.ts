import {ServiceTimes} from '../balancing/servicetimes.js';
import {Fit} from './fit.js';
import {MAX_DELAY_SHARE} from './retryafter.js';
import {WaitingRoom, type WaitingRequest} from './waitingroom.js';

/** Chance to end well below which a request waits: started at once, four of five die halfway. */
const MIN_CHANCE = 0.2;
/** Shortest delay of a return, in ms: the end of a fault shows in the answered share of calls about so much later. */
const MIN_RETURN_MS = 400;
/** Part of each delay that is left to chance, so that callers refused at once don't return at once. */
const RETURN_SPREAD = 0.1;
/** One of so many requests starts nevertheless, so that a recovery is noticed. */
const PROBE_INTERVAL = 16;
/** Longest time without such a request, in ms, where requests are few. */
const PROBE_INTERVAL_MS = 1000;
/** Share of the waiting requests that start in one step once the fault is over. */
const RELEASED_SHARE = 0.1;

/** A root request, as far as its waiting is concerned. */
export type PatientRequest = {
	/** Its route, and the service that was chosen for it. */
	readonly kind: string;
	readonly route: string;
	/** How long its caller still waits, in ms; infinite if it doesn't say. */
	readonly leftMs: number;
	/** The longest time of the route, in ms. */
	readonly timeoutMs: number;
	/** How long it has been held, in ms; 0 if it has just come. */
	readonly heldMs: number;
	/** The chance that it ends well if it starts now, from 0 to 1. */
	readonly chance: number;
};

/** What becomes of a root request: it starts, waits here, or is told when to come back. */
export type WaitDecision
	= | {readonly action: 'start'}
		| {readonly action: 'hold'; readonly lastStartMs: number}
		| {readonly action: 'return'; readonly afterMs: number};

type Trouble = {readonly sinceMs: number; skipped: number; probedMs: number};

const START: WaitDecision = {action: 'start'};

/**
 * Decides whether a root request starts, waits at its first daemon or is sent back to its
 * caller. While it has little chance, it is held until the fault is over or until it must
 * start to be answered within its caller's time and that of its route. A caller who has
 * time beyond that of the route is then told to come back, after as long as the fault has
 * lasted; for any other it starts, as a small chance is better than none. First attempts and
 * retries of callers are treated alike.
 * Handles the load pattern in which a service deep in the call tree turns away most
 * calls for a while, so that requests die that would have been served seconds later.
 */
export class PatientAdmission<T extends WaitingRequest> {
	readonly #room: WaitingRoom<T>;
	readonly #random: () => number;
	readonly #answerTimes = new ServiceTimes();
	readonly #fit = new Fit();
	readonly #troubles = new Map<string, Trouble>();

	constructor(maxBytes: number, random: () => number) {
		this.#room = new WaitingRoom(maxBytes);
		this.#random = random;
	}

	get waiting(): number {
		return this.#room.size;
	}

	/** Records how long a request took that was answered well. */
	recordAnswer(route: string, spentMs: number): void {
		this.#answerTimes.record(route, spentMs);
	}

	decide(request: PatientRequest, nowMs: number): WaitDecision {
		const {kind, heldMs, chance} = request;
		if (chance >= MIN_CHANCE) {
			this.#troubles.delete(kind);
			return START;
		}

		const trouble = this.#troubles.get(kind) ?? {sinceMs: nowMs, skipped: 0, probedMs: nowMs};
		this.#troubles.set(kind, trouble);
		if (heldMs === 0 && isProbe(trouble, nowMs)) {
			return START;
		}

		const lastStartMs = nowMs + Math.min(timeLeftMs(request), request.timeoutMs - heldMs) - this.#answerMs(request);
		return lastStartMs > nowMs ? {action: 'hold', lastStartMs} : this.turnBack(request, nowMs);
	}

	/** Decides on a request that can't be held, or no longer: whether its caller has the time to come back. */
	turnBack(request: PatientRequest, nowMs: number): WaitDecision {
		const leftMs = timeLeftMs(request);
		const troubledMs = nowMs - (this.#troubles.get(request.kind)?.sinceMs ?? nowMs);
		const afterMs = Math.min(leftMs * MAX_DELAY_SHARE, Math.max(MIN_RETURN_MS, troubledMs));
		return leftMs - afterMs > this.#answerMs(request) ? {action: 'return', afterMs: afterMs * (1 - (RETURN_SPREAD * this.#random()))} : START;
	}

	/** @returns whether there was room */
	hold(request: T): boolean {
		return this.#room.add(request);
	}

	/** Removes a request whose caller is gone. */
	remove(request: T): void {
		this.#room.remove(request);
	}

	/**
	 * Removes and returns the requests that start now: those whose last useful
	 * moment has come, and a part of those whose chance is back.
	 */
	release(chanceOf: (kind: string) => number, nowMs: number): T[] {
		const released: T[] = [];
		for (let due = this.#room.takeDue(nowMs); due !== undefined; due = this.#room.takeDue(nowMs)) {
			released.push(due);
		}

		const mayStart = (kind: string) => chanceOf(kind) >= MIN_CHANCE;
		for (let places = Math.ceil(this.#room.size * RELEASED_SHARE); places > 0; places--) {
			const next = this.#room.takeNext(mayStart);
			if (next === undefined) {
				break;
			}

			released.push(next);
		}

		return released;
	}

	/** The time that an answer is given, in ms. */
	#answerMs({route}: PatientRequest): number {
		return this.#fit.runMs({serviceMs: this.#answerTimes.expectedMs(route), deviationMs: this.#answerTimes.deviationMs(route)});
	}
}

function timeLeftMs({leftMs, timeoutMs, heldMs}: PatientRequest): number {
	return Number.isFinite(leftMs) ? leftMs : timeoutMs - heldMs;
}

function isProbe(trouble: Trouble, nowMs: number): boolean {
	trouble.skipped++;
	if (trouble.skipped < PROBE_INTERVAL && nowMs - trouble.probedMs < PROBE_INTERVAL_MS) {
		return false;
	}

	trouble.skipped = 0;
	trouble.probedMs = nowMs;
	return true;
}
