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
import {ANSWER_MARGIN_MS, type PendingRequest, createCall} from './pendingrequest.js';
import {type Resender} from './resender.js';
import {RetryAfterPolicy} from './retryafter.js';
import {TimerWheel} from './timerwheel.js';
import {type ReceivedCall} from './receivedcall.js';

type Request = Extract<Input, {type: 'request'}>;

/**
 * Takes requests from callers and from the own target, and sees each to its one
 * final answer: refuses it at once, or routes it, retries it within its pot and
 * ends it at its deadline.
 */
export class Ingress {
	readonly #parts: IngressParts;
	readonly #requests = new Map<RequestId, PendingRequest>();
	readonly #calls = new Map<number, PendingRequest>();
	readonly #children = new Map<ReceivedCall, Set<PendingRequest>>();
	readonly #timeouts = new TimerWheel();
	readonly #ratio = new RetryBudget();
	readonly #retryAfter: RetryAfterPolicy;
	#resender!: Resender;
	#nextCallId = 1;
	#maxRetries = 0;

	constructor(parts: IngressParts) {
		this.#parts = parts;
		this.#retryAfter = new RetryAfterPolicy(parts.kernel);
	}

	/** Resends need the ingress and the ingress needs them; this closes the ring. */
	setResender(resender: Resender): void {
		this.#resender = resender;
	}

	get pendingCount(): number {
		return this.#requests.size;
	}

	/** The most retries that one root's whole tree has used, as its pot tells. */
	get maxRetries(): number {
		return this.#maxRetries;
	}

	onRequest(request: Request): void {
		const {kernel, catalog} = this.#parts;
		const config = catalog();
		if (config === undefined) {
			this.#refuseUnread(request, 'no-config');
			return;
		}

		const operation = config.operation(request.service, request.method, request.path);
		if (operation === undefined) {
			this.#refuseUnread(request, config.services.has(request.service) ? 'unknown-operation' : 'unknown-service');
			return;
		}

		const parent = request.context === undefined ? undefined : this.#parts.admission.findRunning(request.context);
		if (request.context !== undefined && parent === undefined) {
			kernel.counters.add('bad_context', request.service);
		}

		const pending = this.#pendingOf(request, operation, config, parent);
		this.#requests.set(pending.id, pending);
		this.#timeouts.add(pending.id, pending.deadlineMs);
		if (parent !== undefined) {
			parent.hasMadeChildCall = true;
			this.#children.set(parent, (this.#children.get(parent) ?? new Set()).add(pending));
		}

		kernel.counters.add('requests', `${operation.service}|${operation.className}`);
		if (this.#admit(pending)) {
			this.#start(pending, config);
		}
	}

	/** The caller has gone; its answer would reach nobody. */
	onAbandon(id: RequestId): void {
		const pending = this.#requests.get(id);
		if (pending !== undefined) {
			this.#cancelCall(pending);
			this.respond(pending, createUnknownAnswer('cancelled'));
		}
	}

	/** The work that sent these requests is over; nobody waits for them. */
	onParentEnded(work: ReceivedCall): void {
		const children = this.#children.get(work);
		if (children === undefined) {
			return;
		}

		this.#children.delete(work);
		for (const pending of children) {
			this.onAbandon(pending.id);
		}
	}

	/** A call's answer has come. One that nobody waits for is dropped and counted. */
	onAnswer(callId: number, answer: Answer, tokens: number): void {
		const pending = this.#calls.get(callId);
		if (pending === undefined) {
			this.#parts.kernel.counters.add('late_answer', '');
			return;
		}

		this.#forgetCall(pending);
		this.#parts.router.onAnswer(pending.upstream!, answer.outcome === 'complete');
		pending.tokens += tokens;
		this.#settle(pending, answer);
	}

	/** What waited for the link has now been sent. */
	onLinkUp(peer: string): void {
		for (const pending of this.#calls.values()) {
			if (pending.upstream === peer) {
				pending.sent = true;
			}
		}
	}

	/** Calls that were never sent can go elsewhere; the others may have run. */
	onLinkDown(peer: string): void {
		for (const pending of this.#calls.values()) {
			if (pending.upstream !== peer) {
				continue;
			}

			const {sent} = pending;
			this.#forgetCall(pending);
			pending.tokens += sent ? 0 : pending.forwardedTokens;
			this.#settle(pending, sent
				? {outcome: 'unknown', reason: 'lost', retryable: true}
				: createRefusal('unreachable', this.#retryAfter.fixedMs(), true));
		}
	}

	tick(): void {
		const {nowMs} = this.#parts.kernel;
		for (const id of this.#timeouts.takeDue(nowMs)) {
			const pending = this.#requests.get(id);
			if (pending !== undefined && pending.deadlineMs <= nowMs) {
				this.#cancelCall(pending);
				const unsent = pending.upstream === undefined || !pending.sent;
				this.respond(pending, unsent ? createRefusal('deadline', this.#retryAfter.fixedMs()) : createUnknownAnswer('deadline'));
			}
		}
	}

	/** Routes a request that may run, and sends it. */
	route(pending: PendingRequest, config: Catalog): void {
		const {membership, router} = this.#parts;
		const {service} = pending.operation;
		const member = this.#preferred(pending) ?? router.choose(membership.servingUpstreams(service), pending.tried);
		if (member === undefined) {
			const known = membership.servingUpstreams(service).length > 0;
			this.respond(pending, createRefusal(known ? 'unreachable' : 'no-upstream', this.#retryAfter.fixedMs()));
			return;
		}

		this.#send(pending, member, config);
	}

	/** Gives a request its one final answer. */
	respond(pending: PendingRequest, answer: Answer): void {
		if (pending.done) {
			return;
		}

		pending.done = true;
		this.#requests.delete(pending.id);
		this.#resender.removeRound(pending);
		const honest = this.#honest(pending, answer);
		const {parent, operation} = pending;
		if (parent === undefined) {
			this.#maxRetries = Math.max(this.#maxRetries, pending.initialTokens - pending.tokens);
		} else {
			parent.tokens += pending.tokens;
			parent.hasFailedChild ||= honest.outcome !== 'complete';
			parent.childMayHaveRun ||= !operation.idempotent && honest.outcome !== 'not-run';
			this.#children.get(parent)?.delete(pending);
		}

		const {counters} = this.#parts.kernel;
		counters.add('answers', `${operation.service}|${operation.className}|${honest.outcome}`);
		if (honest.reason !== undefined) {
			counters.add('reasons', `${operation.service}|${operation.className}|${honest.reason}`);
		}

		this.#parts.kernel.emit({type: 'respond', id: pending.id, answer: honest});
	}

	#pendingOf(request: Request, operation: Operation, config: Catalog, parent: ReceivedCall | undefined): PendingRequest {
		const {kernel, pressure, self, incarnation} = this.#parts;
		const {nowMs} = kernel;
		const budgetMs = (request.budgetMs ?? operation.budgetMs) - kernel.pausedMs;
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
			floor: parent?.call.floor ?? pressure.highestFloorOf(operation.closure, nowMs),
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

	// Roots only: a child is decided by the queue that it meets.
	#admit(pending: PendingRequest): boolean {
		const {kernel} = this.#parts;
		if (pending.deadlineMs <= kernel.nowMs) {
			this.respond(pending, createRefusal(kernel.pausedMs > 0 ? 'paused' : 'expired', this.#retryAfter.fixedMs()));
			return false;
		}

		if (pending.parent !== undefined) {
			return true;
		}

		const admitted = pending.level >= pending.floor;
		this.#retryAfter.onDecision(admitted);
		return admitted || pending.key !== undefined || this.#refuseForPressure(pending);
	}

	#refuseForPressure(pending: PendingRequest): false {
		this.respond(pending, createRefusal('pressure', this.#retryAfter.jitteredMs()));
		return false;
	}

	#start(pending: PendingRequest, config: Catalog): void {
		if (pending.key === undefined) {
			this.route(pending, config);
			return;
		}

		const fault = findKeyFault(pending.key, config.site, this.#parts.kernel.nowMs);
		if (fault !== undefined) {
			this.respond(pending, createRefusal(fault, this.#retryAfter.fixedMs()));
			return;
		}

		pending.ballot = this.#ballot(pending.attempt);
		if (pending.level < pending.floor && pending.parent === undefined) {
			this.#refuseForPressure(pending);
		} else if (pending.attempt > 1) {
			this.#resender.start(pending, config);
		} else {
			this.route(pending, config);
		}
	}

	#ballot(attempt: number): FencingToken {
		const {self, incarnation} = this.#parts;
		return {attempt, tie: `${self}/${incarnation}/${this.#nextCallId}`};
	}

	// A key's first attempt goes to its home, so that duplicates meet one ledger.
	#preferred(pending: PendingRequest): Member | undefined {
		if (pending.key === undefined) {
			return undefined;
		}

		const {membership, router} = this.#parts;
		const home = membership.homeUpstream(pending.operation.service, pending.key);
		return home !== undefined && !pending.tried.includes(home.id) && router.isUsable(home) ? home : undefined;
	}

	#send(pending: PendingRequest, member: Member, config: Catalog): void {
		const {links, router, admission, self} = this.#parts;
		const share = forwardedTokensOf(pending.tokens);
		const call = createCall(pending, share, config.site, this.#parts.kernel.nowMs);
		pending.callId = this.#nextCallId++;
		pending.upstream = member.id;
		pending.tried.push(member.id);
		this.#ratio.onCall(pending.operation.service, config.site.retryRatio);
		this.#calls.set(pending.callId, pending);
		router.onSent(member.id);
		pending.tokens -= share;
		pending.forwardedTokens = share;
		if (member.id === self) {
			pending.sent = true;
			admission.admit({callId: pending.callId}, call);
			return;
		}

		const frame: Frame = {type: 'call', id: pending.callId, call};
		const sent = links.send(member.id, member.address, frame);
		pending.sent = sent === 'sent';
		if (sent === 'refused') {
			this.onAnswer(pending.callId, createRefusal('unreachable', this.#retryAfter.fixedMs(), true), share);
		}
	}

	#settle(pending: PendingRequest, answer: Answer): void {
		const config = this.#parts.catalog();
		if (answer.outcome === 'complete' || config === undefined || !this.#mayRetry(pending, answer)) {
			this.respond(pending, this.#finalOf(pending, answer));
			return;
		}

		// A call that never left costs nothing; no target has seen an attempt.
		pending.tokens -= answer.reason === 'unreachable' ? 0 : 1;
		this.#parts.kernel.counters.add('retries', `${pending.operation.service}|${pending.operation.className}|${answer.reason}`);
		this.route(pending, config);
	}

	#mayRetry(pending: PendingRequest, answer: Answer): boolean {
		const {membership, pressure, kernel} = this.#parts;
		const {service, idempotent} = pending.operation;
		const safe = answer.outcome === 'not-run' || idempotent;
		const crowded = answer.reason === 'overload' || answer.reason === 'evicted';
		return safe
			&& answer.retryable === true
			&& pending.deadlineMs - kernel.nowMs > ANSWER_MARGIN_MS
			&& !(crowded && pressure.floor(service, kernel.nowMs) > 0)
			&& membership.servingUpstreams(service).some(({id}) => !pending.tried.includes(id))
			&& (answer.reason === 'unreachable' || (pending.tokens >= 1 && this.#ratio.tryTake(service)));
	}

	// An overloaded service's refusal comes back with the time that this daemon's demand suggests.
	#finalOf(pending: PendingRequest, answer: Answer): Answer {
		if (answer.outcome === 'complete' || pending.parent !== undefined) {
			return answer;
		}

		return {...answer, retryAfterMs: this.#retryAfter.jitteredMs()};
	}

	#honest(pending: PendingRequest, answer: Answer): Answer {
		return answer.outcome === 'not-run' && pending.mayHaveRun ? {...answer, outcome: 'unknown'} : answer;
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
			this.#parts.router.onEnded(pending.upstream);
		}
	}

	#refuseUnread({id, attempt}: Request, reason: Reason): void {
		this.#parts.kernel.counters.add('reasons', `||${reason}`);
		const answer = createRefusal(reason, this.#retryAfter.fixedMs());
		const mayHaveRun = attempt !== undefined && attempt > 1;
		this.#parts.kernel.emit({type: 'respond', id, answer: mayHaveRun ? {...answer, outcome: 'unknown'} : answer});
	}
}
