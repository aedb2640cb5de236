import {
	type Answer, type Reason, createRefusal, createUnknownAnswer,
} from './answer.js';
import {RetryBudget, childTokensOf, forwardedTokensOf} from './retrytokens.js';
import {type Catalog, type Operation} from './catalog.js';
import {type Frame} from './frame.js';
import {attemptNumberOf, findKeyFault} from './idempotencykey.js';
import {type FencingToken} from './ledger.js';
import {levelOf} from './level.js';
import {type Member} from './member.js';
import {type Input, type RequestId} from './message.js';
import {type IngressParts} from './ingressparts.js';
import {
	ANSWER_MARGIN_MS, type PendingRequest, correctOutcome, createCall,
} from './pendingrequest.js';
import {type Resender} from './resender.js';
import {RetryAfterPolicy} from './retryafter.js';
import {TimerWheel} from './timerwheel.js';
import {type ReceivedCall} from './receivedcall.js';

type Request = Extract<Input, {type: 'request'}>;

/**
 * Accepts requests from callers and from this daemon's target, and gives each
 * exactly one final answer: refuses it at once, or routes it, retries it while
 * its retry tokens last, and answers it at its deadline at the latest.
 */
export class Ingress {
	readonly #parts: IngressParts;
	readonly #requests = new Map<RequestId, PendingRequest>();
	readonly #calls = new Map<number, PendingRequest>();
	readonly #childRequests = new Map<ReceivedCall, Set<PendingRequest>>();
	readonly #timers = new TimerWheel();
	readonly #retryBudget = new RetryBudget();
	readonly #retryAfter: RetryAfterPolicy;
	#resender!: Resender;
	#nextCallId = 1;
	#nextTokenId = 1;
	#maxRetries = 0;

	constructor(parts: IngressParts) {
		this.#parts = parts;
		this.#retryAfter = new RetryAfterPolicy(parts.coreContext);
	}

	/** Sets the resender after construction, because the two depend on each other. */
	setResender(resender: Resender): void {
		this.#resender = resender;
	}

	get pendingCount(): number {
		return this.#requests.size;
	}

	/** The most retry tokens that the call tree of one root request has used or lost. */
	get maxRetries(): number {
		return this.#maxRetries;
	}

	onRequest(request: Request): void {
		const {coreContext, catalog} = this.#parts;
		const config = catalog();
		if (config === undefined) {
			this.#refuseBeforeRouting(request, 'no-config');
			return;
		}

		const operation = config.findOperation(request.service, request.method, request.path);
		if (operation === undefined) {
			this.#refuseBeforeRouting(request, config.services.has(request.service) ? 'unknown-operation' : 'unknown-service');
			return;
		}

		const parent = request.context === undefined ? undefined : this.#parts.admission.findRunning(request.context);
		if (request.context !== undefined && parent === undefined) {
			coreContext.counters.add('bad_context', request.service);
		}

		const pending = this.#createPending(request, operation, config, parent);
		this.#requests.set(pending.id, pending);
		this.#timers.add(pending.id, pending.deadlineMs);
		if (parent !== undefined) {
			parent.hasMadeChildCall = true;
			this.#childRequests.set(parent, (this.#childRequests.get(parent) ?? new Set()).add(pending));
		}

		coreContext.counters.add('requests', `${operation.service}|${operation.className}`);
		if (this.#admit(pending)) {
			this.#start(pending, config);
		}
	}

	/** The caller has disconnected, so its request and the call made for it are cancelled. */
	onAbandon(id: RequestId): void {
		const pending = this.#requests.get(id);
		if (pending !== undefined) {
			this.#cancelCall(pending);
			this.respond(pending, createUnknownAnswer('cancelled'));
		}
	}

	/** The run that sent these requests has ended, so nobody waits for their answers. */
	onParentEnded(received: ReceivedCall): void {
		const children = this.#childRequests.get(received);
		if (children === undefined) {
			return;
		}

		this.#childRequests.delete(received);
		for (const pending of children) {
			this.onAbandon(pending.id);
		}
	}

	/** Handles the answer to a call. An answer to a call that is no longer pending is counted and dropped. */
	onAnswer(callId: number, answer: Answer, tokens: number): void {
		const pending = this.#calls.get(callId);
		if (pending === undefined) {
			this.#parts.coreContext.counters.add('late_answer', '');
			return;
		}

		this.#forgetCall(pending);
		this.#parts.loadBalancer.onAnswer(pending.upstream!, answer.outcome === 'complete');
		pending.tokens += tokens;
		this.#retryOrRespond(pending, answer);
	}

	/** The link to a peer is up and has sent the calls that waited for it. */
	onLinkUp(peer: string): void {
		for (const pending of this.#calls.values()) {
			if (pending.upstream === peer) {
				pending.sent = true;
			}
		}
	}

	/** The link to a peer is down. Calls that it never sent may be retried at another upstream; the others may have run. */
	onLinkDown(peer: string): void {
		for (const pending of this.#calls.values()) {
			if (pending.upstream !== peer) {
				continue;
			}

			const {sent} = pending;
			this.#forgetCall(pending);
			pending.tokens += sent ? 0 : pending.forwardedTokens;
			this.#retryOrRespond(pending, sent
				? {outcome: 'unknown', reason: 'lost', retryable: true}
				: createRefusal('unreachable', this.#retryAfter.fixedMs(), true));
		}
	}

	tick(): void {
		const {nowMs} = this.#parts.coreContext;
		for (const id of this.#timers.takeDue(nowMs)) {
			const pending = this.#requests.get(id);
			if (pending !== undefined && pending.deadlineMs <= nowMs) {
				this.#cancelCall(pending);
				const isUnsent = pending.upstream === undefined || !pending.sent;
				this.respond(pending, isUnsent ? createRefusal('deadline', this.#retryAfter.fixedMs()) : createUnknownAnswer('deadline'));
			}
		}
	}

	/** Chooses an upstream for a request and sends a call there. */
	route(pending: PendingRequest, config: Catalog): void {
		const {membership, loadBalancer} = this.#parts;
		const {service} = pending.operation;
		const member = this.#homeOf(pending) ?? loadBalancer.choose(membership.servingUpstreams(service), pending.tried);
		if (member === undefined) {
			const isServed = membership.servingUpstreams(service).length > 0;
			this.respond(pending, createRefusal(isServed ? 'unreachable' : 'no-upstream', this.#retryAfter.fixedMs()));
			return;
		}

		this.#send(pending, member, config);
	}

	/** Gives a request its final answer; later answers are ignored. */
	respond(pending: PendingRequest, answer: Answer): void {
		if (pending.done) {
			return;
		}

		pending.done = true;
		this.#requests.delete(pending.id);
		this.#resender.removeRound(pending);
		const finalAnswer = correctOutcome(pending, answer);
		const {parent, operation} = pending;
		if (parent === undefined) {
			this.#maxRetries = Math.max(this.#maxRetries, pending.initialTokens - pending.tokens);
		} else {
			parent.tokens += pending.tokens;
			parent.hasFailedChild ||= finalAnswer.outcome !== 'complete';
			parent.childMayHaveRun ||= !operation.idempotent && finalAnswer.outcome !== 'not-run';
			this.#childRequests.get(parent)?.delete(pending);
		}

		const {counters} = this.#parts.coreContext;
		counters.add('answers', `${operation.service}|${operation.className}|${finalAnswer.outcome}`);
		if (finalAnswer.reason !== undefined) {
			counters.add('reasons', `${operation.service}|${operation.className}|${finalAnswer.reason}`);
		}

		this.#parts.coreContext.emit({type: 'respond', id: pending.id, answer: finalAnswer});
	}

	#createPending(request: Request, operation: Operation, config: Catalog, parent: ReceivedCall | undefined): PendingRequest {
		const {coreContext, floorTable, self, incarnation} = this.#parts;
		const {nowMs} = coreContext;
		const budgetMs = (request.budgetMs ?? operation.budgetMs) - coreContext.pausedMs;
		const root = parent?.call.root ?? request.key ?? `${self}/${incarnation}/${request.id}`;
		const epoch = Math.floor(nowMs / config.site.epochMs);
		const tokens = parent === undefined ? (request.fromTarget ? 0 : config.site.retryPot) : childTokensOf(parent.tokens);
		if (parent !== undefined) {
			parent.tokens -= tokens;
		}

		const changedMs = this.#parts.membership.servingChangedMs(request.service);
		const attempt = operation.idempotent ? 1 : attemptNumberOf(request, config.site, {nowMs, changedMs});
		return {
			id: request.id,
			parent,
			operation,
			root,
			level: parent?.level ?? levelOf(operation.rank, root, epoch),
			floor: parent?.call.floor ?? floorTable.highestFloorOf(operation.reachableServices, nowMs),
			deadlineMs: Math.min(nowMs + budgetMs, parent?.deadlineMs ?? Number.POSITIVE_INFINITY),
			payload: request.payload,
			key: operation.idempotent ? undefined : (request.key ?? `${self}/${incarnation}/${request.id}`),
			attempt,
			mayHaveRun: attempt > 1,
			initialTokens: tokens,
			tokens,
			forwardedTokens: 0,
			tried: [],
			callId: 0,
			sent: false,
			done: false,
		};
	}

	// Only root requests are checked against the floor; the queue of the target decides on child requests.
	#admit(pending: PendingRequest): boolean {
		const {coreContext} = this.#parts;
		if (pending.deadlineMs <= coreContext.nowMs) {
			this.respond(pending, createRefusal(coreContext.pausedMs > 0 ? 'paused' : 'expired', this.#retryAfter.fixedMs()));
			return false;
		}

		if (pending.parent !== undefined) {
			return true;
		}

		const isAdmitted = pending.level >= pending.floor;
		this.#retryAfter.onDecision(isAdmitted);
		return isAdmitted || pending.key !== undefined || this.#refuseBelowFloor(pending);
	}

	#refuseBelowFloor(pending: PendingRequest): false {
		this.respond(pending, createRefusal('pressure', this.#retryAfter.jitteredMs()));
		return false;
	}

	#start(pending: PendingRequest, config: Catalog): void {
		const refusal = this.#parts.quarantineGate?.findRefusal(pending);
		if (refusal !== undefined) {
			this.respond(pending, refusal);
			return;
		}

		if (pending.key === undefined) {
			this.route(pending, config);
			return;
		}

		const keyFault = findKeyFault(pending.key, config.site, this.#parts.coreContext.nowMs);
		if (keyFault !== undefined) {
			this.respond(pending, createRefusal(keyFault, this.#retryAfter.fixedMs()));
			return;
		}

		pending.ballot = this.#createToken(pending.attempt);
		if (pending.level < pending.floor && pending.parent === undefined) {
			this.#refuseBelowFloor(pending);
		} else if (pending.attempt > 1) {
			this.#resender.start(pending, config);
		} else {
			this.route(pending, config);
		}
	}

	#createToken(attempt: number): FencingToken {
		const {self, incarnation} = this.#parts;
		return {attempt, tie: `${self}/${incarnation}/${this.#nextTokenId++}`};
	}

	// The first attempt at a key goes to its home upstream, so that all duplicates reach the same ledger.
	#homeOf(pending: PendingRequest): Member | undefined {
		const {membership, loadBalancer, quarantineGate} = this.#parts;
		const key = pending.key ?? quarantineGate?.placementKeyOf(pending);
		const home = key === undefined ? undefined : membership.homeUpstream(pending.operation.service, key);
		return home !== undefined && !pending.tried.includes(home.id) && loadBalancer.isUsable(home) ? home : undefined;
	}

	#send(pending: PendingRequest, member: Member, config: Catalog): void {
		const {links, loadBalancer, admission, self} = this.#parts;
		const forwardedTokens = forwardedTokensOf(pending.tokens);
		const call = createCall(pending, forwardedTokens, config.site, this.#parts.coreContext.nowMs);
		pending.callId = this.#nextCallId++;
		pending.upstream = member.id;
		pending.tried.push(member.id);
		this.#retryBudget.onCall(pending.operation.service, config.site.retryRatio);
		this.#calls.set(pending.callId, pending);
		loadBalancer.onSent(member.id);
		pending.tokens -= forwardedTokens;
		pending.forwardedTokens = forwardedTokens;
		if (member.id === self) {
			pending.sent = true;
			admission.admit({callId: pending.callId}, call);
			return;
		}

		const frame: Frame = {type: 'call', id: pending.callId, call};
		const sent = links.send(member.id, member.address, frame);
		pending.sent = sent === 'sent';
		if (sent === 'refused') {
			this.onAnswer(pending.callId, createRefusal('unreachable', this.#retryAfter.fixedMs(), true), forwardedTokens);
		}
	}

	#retryOrRespond(pending: PendingRequest, answer: Answer): void {
		const config = this.#parts.catalog();
		if (answer.outcome === 'complete' || config === undefined || !this.#mayRetry(pending, answer)) {
			this.respond(pending, this.#withRetryAfter(pending, answer));
			return;
		}

		// A call that was never sent costs no token, because no target has received it.
		pending.tokens -= answer.reason === 'unreachable' ? 0 : 1;
		this.#parts.coreContext.counters.add('retries', `${pending.operation.service}|${pending.operation.className}|${answer.reason}`);
		this.route(pending, config);
	}

	#mayRetry(pending: PendingRequest, answer: Answer): boolean {
		const {membership, floorTable, coreContext, quarantineGate} = this.#parts;
		const {service, idempotent} = pending.operation;
		const isSafe = answer.outcome === 'not-run' || idempotent;
		const isOverloaded = answer.reason === 'overload' || answer.reason === 'evicted';
		return isSafe
			&& answer.retryable === true
			&& pending.deadlineMs - coreContext.nowMs > ANSWER_MARGIN_MS
			&& quarantineGate?.findRefusal(pending) === undefined
			&& !(isOverloaded && floorTable.meanFloorOf(service, coreContext.nowMs) > 0)
			&& membership.servingUpstreams(service).some(({id}) => !pending.tried.includes(id))
			&& (answer.reason === 'unreachable' || (pending.tokens >= 1 && this.#retryBudget.tryTake(service)));
	}

	// This daemon replaces the retry delay of a refusal by its own, which grows with the ratio of its refusals to admissions.
	#withRetryAfter(pending: PendingRequest, answer: Answer): Answer {
		if (answer.outcome === 'complete' || answer.reason === 'quarantined' || pending.parent !== undefined) {
			return answer;
		}

		return {...answer, retryAfterMs: this.#retryAfter.jitteredMs()};
	}

	#cancelCall(pending: PendingRequest): void {
		const {links, admission, self} = this.#parts;
		const {callId, upstream} = pending;
		if (upstream === undefined || !this.#calls.has(callId)) {
			return;
		}

		this.#forgetCall(pending);
		if (upstream === self) {
			admission.cancel({callId});
		} else if (pending.sent) {
			links.sendIfUp(upstream, {type: 'cancel', id: callId});
		} else {
			links.removeWaitingCall(upstream, callId);
		}
	}

	#forgetCall(pending: PendingRequest): void {
		this.#calls.delete(pending.callId);
		if (pending.upstream !== undefined) {
			this.#parts.loadBalancer.onEnded(pending.upstream);
		}
	}

	#refuseBeforeRouting({id, key, attempt}: Request, reason: Reason): void {
		this.#parts.coreContext.counters.add('reasons', `||${reason}`);
		const answer = createRefusal(reason, this.#retryAfter.fixedMs());
		// Without a configuration, a request that names no attempt may be a resend.
		const mayHaveRun = attempt === undefined ? key !== undefined && reason === 'no-config' : attempt > 1;
		this.#parts.coreContext.emit({type: 'respond', id, answer: mayHaveRun ? {...answer, outcome: 'unknown'} : answer});
	}
}
