import {type LoadReport} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Links} from './links.js';
import {type Member} from './member.js';

/** Largest number of candidates that are all compared; from a larger number, two are chosen at random and compared. */
const MAX_COMPARED = 4;
/** Factor by which a call without a complete answer raises the penalty of its upstream. */
const FAILURE_FACTOR = 1.3;
const MAX_PENALTY = 100;
/** Factor by which a complete answer lowers the penalty of its upstream. */
const SUCCESS_FACTOR = 0.9;
/** Time after the last failure from which the penalty no longer counts, in ms. */
const FAILURE_MEMORY_MS = 2000;
/** Share by which the load of another host must be lower for it to be preferred to this one. */
const LOCAL_ADVANTAGE = 0.02;

type UpstreamLoad = {
	/** Calls sent to the upstream and not yet answered. */
	inFlight: number;
	/** Factor on the load, at least 1; it grows with failed calls. */
	penalty: number;
	failedMs: number;
	/** Sequence number of the last call sent to the upstream; breaks ties for the least recently used one. */
	lastUse: number;
	/** The load that the upstream reports of itself; shown to operators, not used for the choice. */
	report: LoadReport | undefined;
};

/**
 * Chooses the upstream for a call by what this daemon observes itself: its own
 * calls in flight, which accumulate where answers are slow, and recent failures.
 * Among equally loaded upstreams it takes the one used least recently. It
 * ignores the load that upstreams report, because reports lag or are wrong.
 */
export class LoadBalancer {
	readonly #context: CoreContext;
	readonly #links: Links;
	readonly #self: string;
	readonly #loads = new Map<string, UpstreamLoad>();
	#lastUse = 0;

	constructor(context: CoreContext, links: Links, self: string) {
		this.#context = context;
		this.#links = links;
		this.#self = self;
	}

	/** Returns the least loaded candidate that is usable and not excluded, or undefined. */
	choose(candidates: readonly Member[], excluded: readonly string[]): Member | undefined {
		const usable = candidates.length <= MAX_COMPARED
			? candidates.filter(member => this.#isUsable(member, excluded))
			: this.#sample(candidates, excluded);
		let best: Member | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		let bestLastUse = 0;
		for (const member of usable) {
			const score = this.#score(member);
			const {lastUse} = this.#load(member.id);
			if (score < bestScore || (score === bestScore && lastUse < bestLastUse)) {
				best = member;
				bestScore = score;
				bestLastUse = lastUse;
			}
		}

		return best;
	}

	isUsable(member: Member): boolean {
		return this.#isUsable(member, []);
	}

	onSent(peer: string): void {
		const load = this.#load(peer);
		load.inFlight++;
		load.lastUse = ++this.#lastUse;
	}

	onEnded(peer: string): void {
		const load = this.#load(peer);
		load.inFlight = Math.max(0, load.inFlight - 1);
	}

	/** Returns the load that an upstream last reported of itself. */
	reportOf(peer: string): LoadReport | undefined {
		return this.#loads.get(peer)?.report;
	}

	hasInFlight(peer: string): boolean {
		return (this.#loads.get(peer)?.inFlight ?? 0) > 0;
	}

	/** Records that a call ended, with or without a complete answer. */
	onAnswer(peer: string, complete: boolean): void {
		const load = this.#load(peer);
		if (complete) {
			load.penalty = Math.max(1, load.penalty * SUCCESS_FACTOR);
		} else {
			load.penalty = Math.min(MAX_PENALTY, load.penalty * FAILURE_FACTOR);
			load.failedMs = this.#context.nowMs;
		}
	}

	onReport(peer: string, report: LoadReport): void {
		this.#load(peer).report = report;
	}

	/** Returns the load of an upstream for comparison: this daemon's calls in flight plus one, times the penalty, per slot. */
	loadOf(member: Member): number {
		const load = this.#load(member.id);
		const isFailureExpired = this.#context.nowMs - load.failedMs > FAILURE_MEMORY_MS;
		return (load.inFlight + 1) * (isFailureExpired ? 1 : load.penalty) / Math.max(1, member.slots);
	}

	#isUsable(member: Member, excluded: readonly string[]): boolean {
		if (excluded.includes(member.id)) {
			return false;
		}

		// A suspect member isn't dialled. A member whose link is up answers heartbeats, so it is usable in every state.
		return member.id === this.#self
			|| this.#links.isUp(member.id)
			|| (member.status === 'alive' && this.#links.canSend(member.id));
	}

	// Chooses two random candidates; if neither is usable, the first usable one.
	#sample(candidates: readonly Member[], excluded: readonly string[]): Member[] {
		const first = Math.floor(this.#context.random() * candidates.length);
		const second = (first + 1 + Math.floor(this.#context.random() * (candidates.length - 1))) % candidates.length;
		const pair = [candidates[first], candidates[second]].filter(member => this.#isUsable(member, excluded));
		if (pair.length > 0) {
			return pair;
		}

		const fallback = candidates.find(member => this.#isUsable(member, excluded));
		return fallback === undefined ? [] : [fallback];
	}

	#score(member: Member): number {
		return this.loadOf(member) * (member.id === this.#self ? 1 - LOCAL_ADVANTAGE : 1);
	}

	#load(peer: string): UpstreamLoad {
		let load = this.#loads.get(peer);
		if (load === undefined) {
			load = {
				inFlight: 0, penalty: 1, failedMs: 0, lastUse: 0, report: undefined,
			};
			this.#loads.set(peer, load);
		}

		return load;
	}
}
