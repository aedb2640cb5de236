import {type LoadReport} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Links} from './links.js';
import {type Member} from './member.js';

/** Up to this many candidates are all compared; of more, two random ones. */
const COMPARE_ALL = 4;
/** How much more loaded an upstream counts after a call without a whole answer. */
const FAILURE_FACTOR = 1.3;
const MAX_PENALTY = 100;
/** How fast whole answers make up for failures. */
const SUCCESS_FACTOR = 0.9;
/** The time after which earlier failures no longer count, in ms. */
const FORGIVE_MS = 2000;
/** The part of a load by which another host must be better than this one. */
const LOCAL_ADVANTAGE = 0.02;

type PeerLoad = {
	/** Calls sent there and not answered. */
	inFlight: number;
	/** At least 1; grows with calls that failed there. */
	penalty: number;
	failedMs: number;
	/** Orders upstreams by when a call was last sent there. */
	turn: number;
	/** What it says of itself; shown to operators, not trusted. */
	report: LoadReport | undefined;
};

/**
 * Chooses the upstream for a call by what this daemon has seen itself: its calls
 * in flight there, which pile up where answers are slow, and recent failures.
 * Among equals it takes turns. What upstreams report of their load lags or
 * misleads, so it decides nothing.
 */
export class LoadBalancer {
	readonly #kernel: CoreContext;
	readonly #links: Links;
	readonly #self: string;
	readonly #loads = new Map<string, PeerLoad>();
	#turn = 0;

	constructor(kernel: CoreContext, links: Links, self: string) {
		this.#kernel = kernel;
		this.#links = links;
		this.#self = self;
	}

	/** The best candidate that is reachable and not excluded. */
	choose(candidates: readonly Member[], excluded: readonly string[]): Member | undefined {
		const usable = candidates.length <= COMPARE_ALL
			? candidates.filter(member => this.#isUsable(member, excluded))
			: this.#sample(candidates, excluded);
		let best: Member | undefined;
		let bestScore = Number.POSITIVE_INFINITY;
		let bestTurn = 0;
		for (const member of usable) {
			const score = this.#score(member);
			const {turn} = this.#load(member.id);
			if (score < bestScore || (score === bestScore && turn < bestTurn)) {
				best = member;
				bestScore = score;
				bestTurn = turn;
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
		load.turn = ++this.#turn;
	}

	onEnded(peer: string): void {
		const load = this.#load(peer);
		load.inFlight = Math.max(0, load.inFlight - 1);
	}

	/** What an upstream last said of itself. */
	reportOf(peer: string): LoadReport | undefined {
		return this.#loads.get(peer)?.report;
	}

	hasInFlight(peer: string): boolean {
		return (this.#loads.get(peer)?.inFlight ?? 0) > 0;
	}

	/** A call ended with a whole answer, or without one. */
	onAnswer(peer: string, complete: boolean): void {
		const load = this.#load(peer);
		if (complete) {
			load.penalty = Math.max(1, load.penalty * SUCCESS_FACTOR);
		} else {
			load.penalty = Math.min(MAX_PENALTY, load.penalty * FAILURE_FACTOR);
			load.failedMs = this.#kernel.nowMs;
		}
	}

	onReport(peer: string, report: LoadReport): void {
		this.#load(peer).report = report;
	}

	/** This daemon's own calls there, one more included, as a part of its slots, for comparing. */
	loadOf(member: Member): number {
		const load = this.#load(member.id);
		const isForgiven = this.#kernel.nowMs - load.failedMs > FORGIVE_MS;
		return (load.inFlight + 1) * (isForgiven ? 1 : load.penalty) / Math.max(1, member.slots);
	}

	#isUsable(member: Member, excluded: readonly string[]): boolean {
		if (excluded.includes(member.id)) {
			return false;
		}

		// A suspect is worth no dialling; one whose link is up answers heartbeats.
		return member.id === this.#self
			|| this.#links.isUp(member.id)
			|| (member.status === 'alive' && this.#links.canSend(member.id));
	}

	// Two random ones; if neither is usable, any usable one.
	#sample(candidates: readonly Member[], excluded: readonly string[]): Member[] {
		const first = Math.floor(this.#kernel.random() * candidates.length);
		const second = (first + 1 + Math.floor(this.#kernel.random() * (candidates.length - 1))) % candidates.length;
		const pair = [candidates[first], candidates[second]].filter(member => this.#isUsable(member, excluded));
		if (pair.length > 0) {
			return pair;
		}

		const any = candidates.find(member => this.#isUsable(member, excluded));
		return any === undefined ? [] : [any];
	}

	#score(member: Member): number {
		return this.loadOf(member) * (member.id === this.#self ? 1 - LOCAL_ADVANTAGE : 1);
	}

	#load(peer: string): PeerLoad {
		let load = this.#loads.get(peer);
		if (load === undefined) {
			load = {
				inFlight: 0, penalty: 1, failedMs: 0, turn: 0, report: undefined,
			};
			this.#loads.set(peer, load);
		}

		return load;
	}
}
