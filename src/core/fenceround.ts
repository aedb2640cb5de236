import {type FencingToken, type FenceReply} from './ledger.js';
import {type Member} from './member.js';

/** What a finished fence round found. */
export type FenceResult
	= | {readonly kind: 'clear'}
		| {readonly kind: 'superseded' | 'unavailable'};

/**
 * One coordinator's round for a resent key. The key may run only after every
 * upstream that might have got an earlier attempt has promised that it never
 * ran it and never will. One that can't be asked leaves the round unavailable.
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

	/** The members that have not been asked yet; they count as asked from now on. */
	takeUnasked(members: readonly Member[]): Member[] {
		const fresh = members.filter(({id}) => !this.#replies.has(id));
		for (const {id} of fresh) {
			this.#replies.set(id, 'asked');
		}

		return fresh;
	}

	/** Takes a reply in; undefined for a member that can't be asked. */
	onFenceReply(id: string, vouch: FenceReply | undefined): void {
		const held = this.#replies.get(id);
		if (held === 'asked' || (held === 'running' && vouch?.verdict !== 'running')) {
			this.#replies.set(id, vouch?.verdict ?? 'unvouched');
		}
	}

	isWaitingFor(id: string): boolean {
		const held = this.#replies.get(id);
		return held === 'asked' || held === 'running';
	}

	/** Whether some upstream has said that it runs the key. */
	get isRunning(): boolean {
		return [...this.#replies.values()].includes('running');
	}

	/** The result, or undefined while replies are outstanding or the key runs. */
	get result(): FenceResult | undefined {
		const verdicts = [...this.#replies.values()];
		if (verdicts.some(verdict => verdict === 'asked' || verdict === 'running')) {
			return undefined;
		}

		if (verdicts.every(verdict => verdict === 'fenced')) {
			return {kind: 'clear'};
		}

		return {kind: verdicts.includes('superseded') ? 'superseded' : 'unavailable'};
	}
}
