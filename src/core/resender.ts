import {type Answer, createRefusal, createUnknownAnswer} from './answer.js';
import {type Catalog} from './catalog.js';
import {type Frame} from './frame.js';
import {FenceRound} from './fenceround.js';
import {type Ingress} from './ingress.js';
import {type CoreContext} from './corecontext.js';
import {parseKeyTimeMs} from './idempotencykey.js';
import {type Ledger, type FenceReply} from './ledger.js';
import {type Links} from './links.js';
import {type Member, isRunning} from './member.js';
import {type Membership} from './membership.js';
import {type PendingRequest} from './pendingrequest.js';

/** Time after which a fence round ends as unavailable, and the retry delay that its refusals suggest, in ms. */
const ROUND_TIMEOUT_MS = 1000;

type PendingRound = {
	readonly id: number;
	readonly pending: PendingRequest;
	readonly config: Catalog;
	readonly fence: FenceRound;
	readonly keepMs: number;
	readonly timeoutAtMs: number;
};

/** The parts of a daemon that its resender uses. */
export type ResenderParts = {
	readonly self: string;
	readonly coreContext: CoreContext;
	readonly membership: Membership;
	readonly links: Links;
	readonly ledger: Ledger;
	readonly ingress: Ingress;
};

/**
 * Runs a resent key only after it is certain that no earlier attempt has run or
 * will run. It asks the ledgers of the upstreams, and needs neither a lease nor
 * the platform.
 */
export class Resender {
	readonly #parts: ResenderParts;
	readonly #rounds = new Map<number, PendingRound>();
	readonly #byPending = new Map<PendingRequest, PendingRound>();
	#nextId = 1;

	constructor(parts: ResenderParts) {
		this.#parts = parts;
	}

	start(pending: PendingRequest, config: Catalog): void {
		const {coreContext, membership} = this.#parts;
		const {clockSkewMs, resendWindowMs} = config.site;
		const createdMs = parseKeyTimeMs(pending.key!) ?? coreContext.nowMs - resendWindowMs;
		const round: PendingRound = {
			id: this.#nextId++,
			pending,
			config,
			fence: new FenceRound(pending.key!, pending.ballot!, createdMs - clockSkewMs),
			keepMs: resendWindowMs + (2 * clockSkewMs),
			timeoutAtMs: coreContext.nowMs + ROUND_TIMEOUT_MS,
		};
		this.#rounds.set(round.id, round);
		this.#byPending.set(pending, round);
		coreContext.counters.add('fence_rounds', pending.operation.service);
		this.#ask(round, membership.upstreamsEverServing(pending.operation.service));
		this.#conclude(round);
	}

	removeRound(pending: PendingRequest): void {
		const round = this.#byPending.get(pending);
		if (round !== undefined) {
			this.#byPending.delete(pending);
			this.#rounds.delete(round.id);
		}
	}

	onFenceReply(peer: string, id: number, fenceReply: FenceReply, upstreams: readonly Member[]): void {
		const round = this.#rounds.get(id);
		if (round === undefined) {
			return;
		}

		this.#applyReply(round, peer, fenceReply);
		if (this.#rounds.has(id)) {
			this.#ask(round, upstreams.filter(({service}) => service === round.pending.operation.service));
			this.#conclude(round);
		}
	}

	/** Replies to the fence round of another daemon with what the ledger here knows of the key. */
	onFenceRequest({id, key, ballot, madeAfterMs, keepMs}: Extract<Frame, {type: 'fence'}>, reply: (frame: Frame) => void): void {
		const {ledger, coreContext, membership, self} = this.#parts;
		const fenceReply = ledger.fence(key, ballot, madeAfterMs, coreContext.nowMs + keepMs);
		const service = membership.get(self)?.service;
		reply({
			type: 'vouch', id, vouch: fenceReply, upstreams: service === undefined ? [] : membership.upstreamsEverServing(service),
		});
		if (fenceReply.verdict === 'running') {
			ledger.addWaiter(key, answer => {
				const ended: FenceReply = answer.outcome === 'not-run' ? {verdict: 'fenced'} : {verdict: 'done', answer};
				reply({
					type: 'vouch', id, vouch: ended, upstreams: [],
				});
			});
		}
	}

	onLinkDown(peer: string): void {
		for (const round of this.#rounds.values()) {
			if (round.fence.isWaitingFor(peer)) {
				round.fence.onFenceReply(peer, undefined);
				this.#conclude(round);
			}
		}
	}

	/** Ends the rounds that have timed out as unavailable, unless an upstream is running the key. */
	tick(): void {
		const {coreContext, ingress} = this.#parts;
		for (const round of this.#rounds.values()) {
			if (round.timeoutAtMs <= coreContext.nowMs && !round.fence.isRunning) {
				ingress.respond(round.pending, createUnknownAnswer('fence-unavailable'));
			}
		}
	}

	#ask(round: PendingRound, members: readonly Member[]): void {
		const {self, ledger, links, coreContext} = this.#parts;
		const {key, ballot, madeAfterMs} = round.fence;
		for (const member of round.fence.takeUnasked(members)) {
			if (member.id === self) {
				const fenceReply = ledger.fence(key, ballot, madeAfterMs, coreContext.nowMs + round.keepMs);
				this.#applyReply(round, self, fenceReply);
				if (fenceReply.verdict === 'running') {
					ledger.addWaiter(key, answer => {
						this.#onLocalAnswer(round, answer);
					});
				}

				continue;
			}

			const frame: Frame = {
				type: 'fence', id: round.id, key, ballot, madeAfterMs, keepMs: round.keepMs,
			};
			if (!isRunning(member) || links.send(member.id, member.address, frame) === 'refused') {
				round.fence.onFenceReply(member.id, undefined);
			}
		}
	}

	#onLocalAnswer(round: PendingRound, answer: Answer): void {
		if (this.#rounds.has(round.id)) {
			this.#parts.ingress.respond(round.pending, answer);
		}
	}

	#applyReply(round: PendingRound, peer: string, fenceReply: FenceReply): void {
		round.fence.onFenceReply(peer, fenceReply);
		if (fenceReply.verdict === 'done') {
			this.#parts.coreContext.counters.add('replayed', round.pending.operation.service);
			this.#parts.ingress.respond(round.pending, fenceReply.answer);
		}
	}

	#conclude(round: PendingRound): void {
		const {ingress} = this.#parts;
		const {result} = round.fence;
		if (result === undefined || !this.#rounds.has(round.id)) {
			return;
		}

		if (result.kind === 'clear') {
			this.removeRound(round.pending);
			round.pending.mayHaveRun = false;
			ingress.route(round.pending, round.config);
			return;
		}

		const reason = result.kind === 'superseded' ? 'superseded' : 'fence-unavailable';
		ingress.respond(round.pending, {...createRefusal(reason, ROUND_TIMEOUT_MS), outcome: 'unknown'});
	}
}
