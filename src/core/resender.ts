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

const ROUND_MS = 1000;

type Round = {
	readonly id: number;
	readonly pending: PendingRequest;
	readonly config: Catalog;
	readonly fence: FenceRound;
	readonly keepMs: number;
	readonly untilMs: number;
};

/** What the resender works with; all of it belongs to the same daemon. */
export type ResenderParts = {
	readonly self: string;
	readonly kernel: CoreContext;
	readonly membership: Membership;
	readonly links: Links;
	readonly ledger: Ledger;
	readonly ingress: Ingress;
};

/**
 * Runs a resent key only once no earlier attempt can have run or can still run.
 * Needs no lease and no platform: the upstreams' own ledgers are asked.
 */
export class Resender {
	readonly #parts: ResenderParts;
	readonly #rounds = new Map<number, Round>();
	readonly #byPending = new Map<PendingRequest, Round>();
	#nextId = 1;

	constructor(parts: ResenderParts) {
		this.#parts = parts;
	}

	start(pending: PendingRequest, config: Catalog): void {
		const {kernel, membership} = this.#parts;
		const {clockSkewMs, resendWindowMs} = config.site;
		const madeMs = parseKeyTimeMs(pending.key!) ?? kernel.nowMs - resendWindowMs;
		const round: Round = {
			id: this.#nextId++,
			pending,
			config,
			fence: new FenceRound(pending.key!, pending.ballot!, madeMs - clockSkewMs),
			keepMs: resendWindowMs + (2 * clockSkewMs),
			untilMs: kernel.nowMs + ROUND_MS,
		};
		this.#rounds.set(round.id, round);
		this.#byPending.set(pending, round);
		kernel.counters.add('fence_rounds', pending.operation.service);
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

	onFenceReply(peer: string, id: number, vouch: FenceReply, upstreams: readonly Member[]): void {
		const round = this.#rounds.get(id);
		if (round === undefined) {
			return;
		}

		this.#take(round, peer, vouch);
		if (this.#rounds.has(id)) {
			this.#ask(round, upstreams.filter(({service}) => service === round.pending.operation.service));
			this.#conclude(round);
		}
	}

	/** Another daemon's round asks about a key; this daemon vouches if it can. */
	onFenceRequest({id, key, ballot, madeAfterMs, keepMs}: Extract<Frame, {type: 'fence'}>, reply: (frame: Frame) => void): void {
		const {ledger, kernel, membership, self} = this.#parts;
		const vouch = ledger.fence(key, ballot, madeAfterMs, kernel.nowMs + keepMs);
		const service = membership.get(self)?.service;
		reply({
			type: 'vouch', id, vouch, upstreams: service === undefined ? [] : membership.upstreamsEverServing(service),
		});
		if (vouch.verdict === 'running') {
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

	/** A round that isn't over in time is unavailable, unless the key is known to run. */
	tick(): void {
		const {kernel, ingress} = this.#parts;
		for (const round of this.#rounds.values()) {
			if (round.untilMs <= kernel.nowMs && !round.fence.isRunning) {
				ingress.respond(round.pending, createUnknownAnswer('fence-unavailable'));
			}
		}
	}

	#ask(round: Round, members: readonly Member[]): void {
		const {self, ledger, links, kernel} = this.#parts;
		const {key, ballot, madeAfterMs} = round.fence;
		for (const member of round.fence.takeUnasked(members)) {
			if (member.id === self) {
				const vouch = ledger.fence(key, ballot, madeAfterMs, kernel.nowMs + round.keepMs);
				this.#take(round, self, vouch);
				if (vouch.verdict === 'running') {
					ledger.addWaiter(key, answer => {
						this.#onLocalEnd(round, answer);
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

	#onLocalEnd(round: Round, answer: Answer): void {
		if (this.#rounds.has(round.id)) {
			this.#parts.ingress.respond(round.pending, answer);
		}
	}

	#take(round: Round, peer: string, vouch: FenceReply): void {
		round.fence.onFenceReply(peer, vouch);
		if (vouch.verdict === 'done') {
			this.#parts.kernel.counters.add('replayed', round.pending.operation.service);
			this.#parts.ingress.respond(round.pending, vouch.answer);
		}
	}

	#conclude(round: Round): void {
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
		ingress.respond(round.pending, {...createRefusal(reason, ROUND_MS), outcome: 'unknown'});
	}
}
