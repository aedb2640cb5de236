import {type Answer} from './answer.js';

/**
 * Orders the attempts at one key: by the caller's attempt number, then by a text
 * that is unique to one try of one daemon. A target never runs a key with a
 * token lower than one that it has promised to respect.
 */
export type FencingToken = {readonly attempt: number; readonly tie: string};

export function isLowerToken(a: FencingToken, b: FencingToken): boolean {
	return a.attempt === b.attempt ? a.tie < b.tie : a.attempt < b.attempt;
}

type LedgerEntry = {
	promised: FencingToken;
	keptUntilMs: number;
	waiters: Array<(answer: Answer) => void>;
	state: 'fenced' | 'running' | 'done';
	answer?: Answer;
};

type Settlement
	= | {readonly verdict: 'running' | 'superseded'}
		| {readonly verdict: 'done'; readonly answer: Answer};

/** The decision of a ledger on an attempt that asks to run. */
export type LedgerDecision = Settlement | {readonly verdict: 'run' | 'full'};

/** The reply of a ledger to a coordinator that asks to run the key on another host. */
export type FenceReply = Settlement | {readonly verdict: 'fenced' | 'unvouched' | 'full'};

/**
 * Records which non-idempotent calls this daemon's target has run. Entries are
 * kept for the resend window; a full ledger refuses new keys and drops no entry
 * to make room.
 */
export class Ledger {
	readonly #entries = new Map<string, LedgerEntry>();
	readonly #startMs: number;
	readonly #capacity: number;

	/** @param startMs when this process began to record calls, in ms; nothing is known of earlier ones */
	constructor(startMs: number, capacity: number) {
		this.#startMs = startMs;
		this.#capacity = capacity;
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Decides whether an attempt may run a key. On `run` the key is marked as running. */
	begin(key: string, token: FencingToken, keptUntilMs: number): LedgerDecision {
		const entry = this.#entries.get(key);
		if (entry === undefined) {
			if (this.#entries.size >= this.#capacity) {
				return {verdict: 'full'};
			}

			this.#entries.set(key, {
				promised: token, keptUntilMs, waiters: [], state: 'running',
			});
			return {verdict: 'run'};
		}

		const settlement = findSettlement(entry, token);
		if (settlement !== undefined) {
			return settlement;
		}

		entry.promised = token;
		entry.state = 'running';
		entry.keptUntilMs = Math.max(entry.keptUntilMs, keptUntilMs);
		return {verdict: 'run'};
	}

	/**
	 * Promises that no attempt with a token below this one has run or will run
	 * here. A key that may be older than this ledger gets no promise.
	 */
	fence(key: string, token: FencingToken, madeAfterMs: number, keptUntilMs: number): FenceReply {
		const entry = this.#entries.get(key);
		if (entry === undefined) {
			if (madeAfterMs < this.#startMs) {
				return {verdict: 'unvouched'};
			}

			if (this.#entries.size >= this.#capacity) {
				return {verdict: 'full'};
			}

			this.#entries.set(key, {
				promised: token, keptUntilMs, waiters: [], state: 'fenced',
			});
			return {verdict: 'fenced'};
		}

		const settlement = findSettlement(entry, token);
		if (settlement !== undefined) {
			return settlement;
		}

		entry.promised = token;
		return {verdict: 'fenced'};
	}

	/** Registers a callback for the answer to a running key. */
	addWaiter(key: string, waiter: (answer: Answer) => void): void {
		this.#entries.get(key)?.waiters.push(waiter);
	}

	/**
	 * Marks a running key as finished. An answer that says that nothing was run
	 * lets a later attempt run the key; any other answer is kept and replayed.
	 * After a refused first attempt the entry is removed, because there is no
	 * lower token to guard against.
	 */
	finish(key: string, answer: Answer): void {
		const entry = this.#entries.get(key);
		if (entry?.state !== 'running') {
			return;
		}

		if (answer.outcome !== 'not-run') {
			entry.state = 'done';
			entry.answer = answer;
		} else if (entry.promised.attempt > 1) {
			entry.state = 'fenced';
		} else {
			this.#entries.delete(key);
		}

		for (const waiter of entry.waiters.splice(0)) {
			waiter(answer);
		}
	}

	/** Removes the entries whose resend window has ended, except running ones. */
	removeExpired(nowMs: number): void {
		for (const [key, entry] of this.#entries) {
			if (entry.keptUntilMs <= nowMs && entry.state !== 'running') {
				this.#entries.delete(key);
			}
		}
	}
}

// Returns the reply to an attempt that comes too late or has too low a token; undefined if the attempt may proceed.
function findSettlement({state, answer, promised}: LedgerEntry, token: FencingToken): Settlement | undefined {
	if (state === 'done') {
		return {verdict: 'done', answer: answer!};
	}

	if (state === 'running') {
		return {verdict: 'running'};
	}

	return isLowerToken(token, promised) ? {verdict: 'superseded'} : undefined;
}
