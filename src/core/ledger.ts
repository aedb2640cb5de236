import {type Answer} from './answer.js';

/**
 * The order among attempts at one key: the caller's attempt number, then a
 * number unique to the coordinating daemon's try. A target never runs a key
 * under a ballot lower than one it has promised.
 */
export type FencingToken = {readonly attempt: number; readonly tie: string};

export function isLowerToken(a: FencingToken, b: FencingToken): boolean {
	return a.attempt === b.attempt ? a.tie < b.tie : a.attempt < b.attempt;
}

type Entry = {
	promised: FencingToken;
	keptUntilMs: number;
	waiters: Array<(answer: Answer) => void>;
	state: 'fenced' | 'running' | 'done';
	answer?: Answer;
};

type Settled
	= | {readonly verdict: 'running' | 'superseded'}
		| {readonly verdict: 'done'; readonly answer: Answer};

/** What a ledger says to an attempt that wants to run. */
export type LedgerDecision = Settled | {readonly verdict: 'run' | 'full'};

/** What a ledger says to a coordinator that wants to run the key elsewhere. */
export type FenceReply = Settled | {readonly verdict: 'fenced' | 'unvouched' | 'full'};

/**
 * Which non-idempotent requests this daemon's target has run. Entries live for
 * the resend window; a full ledger refuses and never forgets.
 */
export class Ledger {
	readonly #entries = new Map<string, Entry>();
	readonly #startMs: number;
	readonly #capacity: number;

	/** @param startMs when this process began to keep the ledger */
	constructor(startMs: number, capacity: number) {
		this.#startMs = startMs;
		this.#capacity = capacity;
	}

	get size(): number {
		return this.#entries.size;
	}

	/** Asks to run a key; on `run` the key counts as running from now on. */
	begin(key: string, ballot: FencingToken, keptUntilMs: number): LedgerDecision {
		const entry = this.#entries.get(key);
		if (entry === undefined) {
			if (this.#entries.size >= this.#capacity) {
				return {verdict: 'full'};
			}

			this.#entries.set(key, {
				promised: ballot, keptUntilMs, waiters: [], state: 'running',
			});
			return {verdict: 'run'};
		}

		const settled = settledBy(entry, ballot);
		if (settled !== undefined) {
			return settled;
		}

		entry.promised = ballot;
		entry.state = 'running';
		entry.keptUntilMs = Math.max(entry.keptUntilMs, keptUntilMs);
		return {verdict: 'run'};
	}

	/**
	 * Promises that no attempt below the ballot will run here, and that none
	 * has. It can't be promised for a key that may be older than this ledger.
	 */
	fence(key: string, ballot: FencingToken, madeAfterMs: number, keptUntilMs: number): FenceReply {
		const entry = this.#entries.get(key);
		if (entry === undefined) {
			if (madeAfterMs < this.#startMs) {
				return {verdict: 'unvouched'};
			}

			if (this.#entries.size >= this.#capacity) {
				return {verdict: 'full'};
			}

			this.#entries.set(key, {
				promised: ballot, keptUntilMs, waiters: [], state: 'fenced',
			});
			return {verdict: 'fenced'};
		}

		const settled = settledBy(entry, ballot);
		if (settled !== undefined) {
			return settled;
		}

		entry.promised = ballot;
		return {verdict: 'fenced'};
	}

	/** Calls back with the answer of a running key. */
	addWaiter(key: string, waiter: (answer: Answer) => void): void {
		this.#entries.get(key)?.waiters.push(waiter);
	}

	/**
	 * Ends a running key. An answer that says nothing ran leaves the key free
	 * for a later attempt; any other is kept and replayed. After a refused first
	 * attempt there is no lower ballot left to guard against, so the entry goes.
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

	/** Drops the entries whose resend window is over. */
	removeExpired(nowMs: number): void {
		for (const [key, entry] of this.#entries) {
			if (entry.keptUntilMs <= nowMs && entry.state !== 'running') {
				this.#entries.delete(key);
			}
		}
	}
}

// What an entry answers to any attempt that comes too late or too low.
function settledBy({state, answer, promised}: Entry, ballot: FencingToken): Settled | undefined {
	if (state === 'done') {
		return {verdict: 'done', answer: answer!};
	}

	if (state === 'running') {
		return {verdict: 'running'};
	}

	return isLowerToken(ballot, promised) ? {verdict: 'superseded'} : undefined;
}
