import {type FencingToken, type FenceReply} from './ledger.js';
import {type Member} from './member.js';

/** The result of a finished fence round. */
export type FenceResult
	= | {readonly kind: 'clear'}
		| {readonly kind: 'superseded' | 'unavailable'};

/**
 * Collects the replies of the upstreams to one coordinator about a resent key.
 * The key may run only after every upstream that might have received an earlier
 * attempt has promised that it has not run that attempt and will not run it. An
 * upstream that can't be asked makes the result `unavailable`.
 */
export class FenceRound {
	readonly key: string;
	readonly ballot: FencingToken;
	readonly madeAfterMs: number;
	readonly #replies = new Map<string, FenceReply['verdict'] | 'asked'>();

	constructor(key: string, ballot: FencingToken, madeAfterMs: number) {
		this.key = key;
		this.ballot = ballot;
		this.madeAfterMs = madeAfterMs;
	}

	/** Returns the members that have not been asked yet, and marks them as asked. */
	takeUnasked(members: readonly Member[]): Member[] {
		const unasked = members.filter(({id}) => !this.#replies.has(id));
		for (const {id} of unasked) {
			this.#replies.set(id, 'asked');
		}

		return unasked;
	}

	/** Records the reply of a member; undefined if the member can't be asked. */
	onFenceReply(id: string, reply: FenceReply | undefined): void {
		const previous = this.#replies.get(id);
		if (previous === 'asked' || (previous === 'running' && reply?.verdict !== 'running')) {
			this.#replies.set(id, reply?.verdict ?? 'unvouched');
		}
	}

	isWaitingFor(id: string): boolean {
		const state = this.#replies.get(id);
		return state === 'asked' || state === 'running';
	}

	/** Whether an upstream has replied that it is running the key. */
	get isRunning(): boolean {
		return [...this.#replies.values()].includes('running');
	}

	/** The result, or undefined while a reply is outstanding or the key is running. */
	get result(): FenceResult | undefined {
		const verdicts = [...this.#replies.values()];
		if (verdicts.some(verdict => verdict === 'asked' || verdict === 'running')) {
			return undefined;
		}

		// A daemon that has just started knows no upstream to ask, and so not whether an earlier attempt has run.
		if (verdicts.length > 0 && verdicts.every(verdict => verdict === 'fenced')) {
			return {kind: 'clear'};
		}

		return {kind: verdicts.includes('superseded') ? 'superseded' : 'unavailable'};
	}
}
