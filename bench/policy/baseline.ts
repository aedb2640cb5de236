import {
	type Answer, type Frame, type Input, type Output,
} from '../../src/core/index.js';
import {type Decider, type FakeRequest} from '../../fakes/index.js';

/** How often a host resends a call that its caller still waits for. */
const MAX_RETRIES_PER_HOP = 2;
/** How long a host prefers other upstreams after the connection to one is lost. */
const UNREACHABLE_MS = 1000;
/** A queue wait below this ends CoDel's dropping. */
const CODEL_TARGET_MS = 20;
/** CoDel drops once waits have stayed above the target for this long. */
const CODEL_INTERVAL_MS = 100;
/** An answer that takes this long counts as a failure for the concurrency limit. */
const AIMD_SLOW_ANSWER_MS = 1000;
/** The concurrency limit falls at most once in this time. */
const AIMD_DECREASE_INTERVAL_MS = 100;
const AIMD_DECREASE_FACTOR = 0.9;

/** A request that this host routes, with its current attempt. `callId` changes with each attempt. */
type PendingRequest = {readonly id: number; readonly request: FakeRequest; readonly parent?: number; attemptsMade: number; deadlineMs: number; upstream?: string; callId: number};
/** A call that waits or runs at this host's target. */
type TargetCall = {readonly runId: number; readonly peer: string; readonly callId: number; readonly payload: FakeRequest; readonly arrivedMs: number; readonly deadlineMs: number; startedMs: number};

/** Limits and queues the calls that arrive at a baseline host's target. */
export abstract class Policy {
	abstract readonly name: string;

	/** Returns whether the call at the head of the queue is dropped instead of dispatched. */
	shouldDrop(_waitMs: number, _nowMs: number, _isExpired: boolean): boolean {
		return false;
	}

	onResult(_latencyMs: number, _complete: boolean, _nowMs: number): void {
		// A fixed policy does not adapt to results.
	}

	/** Returns how many calls may run at once. */
	abstract concurrencyLimit(): number;
	/** Returns whether one more call may join a queue of this length. */
	abstract mayQueue(length: number): boolean;
}

/** (a) Dispatches every call to the target at once. */
export class NoControl extends Policy {
	override readonly name = 'none';
	override concurrencyLimit(): number {
		return Number.POSITIVE_INFINITY;
	}

	override mayQueue(): boolean {
		return false;
	}
}

/** (b) Applies a fixed concurrency limit and a FIFO queue. */
export class StaticLimit extends Policy {
	override readonly name = 'static';
	readonly #slots: number;
	readonly #queueCapacity: number;

	constructor(slots: number, connections: number) {
		super();
		this.#slots = slots;
		this.#queueCapacity = connections - slots;
	}

	override concurrencyLimit(): number {
		return this.#slots;
	}

	override mayQueue(length: number): boolean {
		return length < this.#queueCapacity;
	}
}

/** (c) Adapts the concurrency limit by AIMD (plus one, minus a tenth) and drops queued calls as CoDel does. */
export class AimdCodel extends Policy {
	override readonly name = 'aimd';
	readonly #slots: number;
	readonly #queueCapacity: number;
	#limit: number;
	#lastDecreaseMs = 0;
	#aboveSinceMs: number | undefined;
	#nextDropMs = 0;
	#dropCount = 0;

	constructor(slots: number, connections: number) {
		super();
		this.#slots = slots;
		this.#queueCapacity = connections - slots;
		this.#limit = slots;
	}

	override concurrencyLimit(): number {
		return Math.floor(this.#limit);
	}

	override mayQueue(length: number): boolean {
		return length < this.#queueCapacity;
	}

	override shouldDrop(waitMs: number, nowMs: number, isExpired: boolean): boolean {
		if (isExpired) {
			return true;
		}

		if (waitMs < CODEL_TARGET_MS) {
			this.#aboveSinceMs = undefined;
			this.#dropCount = 0;
			return false;
		}

		this.#aboveSinceMs ??= nowMs;
		if (nowMs - this.#aboveSinceMs < CODEL_INTERVAL_MS || nowMs < this.#nextDropMs) {
			return false;
		}

		this.#dropCount++;
		this.#nextDropMs = nowMs + (CODEL_INTERVAL_MS / Math.sqrt(this.#dropCount));
		return true;
	}

	override onResult(latencyMs: number, complete: boolean, nowMs: number): void {
		if (complete && latencyMs < AIMD_SLOW_ANSWER_MS) {
			this.#limit = Math.min(this.#slots, this.#limit + 1);
		} else if (nowMs - this.#lastDecreaseMs >= AIMD_DECREASE_INTERVAL_MS) {
			this.#lastDecreaseMs = nowMs;
			this.#limit = Math.max(1, this.#limit * AIMD_DECREASE_FACTOR);
		}
	}
}

/** The fixed configuration of a baseline host. */
export type BaselineDaemonOptions = {
	readonly id: string;
	readonly upstreams: ReadonlyMap<string, readonly string[]>;
	readonly policy: Policy;
	/** The time that a hop waits for an answer, in ms, where the request names none. */
	readonly budgetMs: number;
	/** Whether a child call inherits its parent's deadline and expired calls leave the queue. */
	readonly propagatesDeadlines: boolean;
	readonly seed: number;
};

/** Decides for a host without comfreydyke: round robin over upstreams, retries at each hop, and one of the policies at its target. */
export class BaselineDaemon implements Decider {
	readonly #options: BaselineDaemonOptions;
	readonly #linkStates = new Map<string, 'dialing' | 'up'>();
	readonly #unreachableUntilMs = new Map<string, number>();
	/** Requests that wait for an upstream, by the call id of their current attempt. */
	readonly #attempts = new Map<number, PendingRequest>();
	/** Unanswered requests by the id under which their sender waits. */
	readonly #requests = new Map<number, PendingRequest>();
	readonly #runningCalls = new Map<number, TargetCall>();
	readonly #queue: TargetCall[] = [];
	readonly #framesAwaitingLink = new Map<string, Frame[]>();
	#outputs: Output[] = [];
	#nowMs = 0;
	#nextId: number;
	#runningCount = 0;

	constructor(options: BaselineDaemonOptions) {
		this.#options = options;
		this.#nextId = 1 + (options.seed % 7);
	}

	step(input: Input, nowMs: number): Output[] {
		this.#nowMs = nowMs;
		this.#apply(input);
		const outputs = this.#outputs;
		this.#outputs = [];
		return outputs;
	}

	#apply(input: Input): void {
		switch (input.type) {
			case 'request': {
				const parent = input.context === undefined ? undefined : this.#runningCalls.get(input.context);
				const ownDeadlineMs = deadlineAfter(this.#nowMs, input.budgetMs ?? this.#options.budgetMs);
				this.#route({
					id: input.id,
					request: input.payload as FakeRequest,
					attemptsMade: 0,
					deadlineMs: this.#options.propagatesDeadlines ? Math.min(ownDeadlineMs, parent?.deadlineMs ?? ownDeadlineMs) : ownDeadlineMs,
					callId: 0,
				});
				break;
			}

			case 'abandon': {
				this.#requests.delete(input.id);
				break;
			}

			case 'frame': {
				this.#onFrame(input.peer, input.frame);
				break;
			}

			case 'link': {
				this.#onLink(input.peer, input.side, input.up);
				break;
			}

			case 'target': {
				this.#onResult(input.id, input.result.kind === 'whole' && input.result.status === 200, input.result.kind === 'unsent');
				break;
			}

			case 'tick': {
				this.#expireRequests();
				break;
			}

			case 'announce':
			case 'withdraw':
			case 'platform':
			case 'drain': {
				break;
			}
		}
	}

	#route(pending: PendingRequest): void {
		this.#requests.set(pending.id, pending);
		const upstreams = this.#options.upstreams.get(pending.request.service) ?? [];
		const reachable = upstreams.filter(id => (this.#unreachableUntilMs.get(id) ?? 0) <= this.#nowMs);
		const candidates = reachable.length > 0 ? reachable : upstreams;
		const peer = candidates[this.#nextId % candidates.length];
		pending.callId = this.#nextId++;
		pending.upstream = peer;
		pending.attemptsMade++;
		this.#attempts.set(pending.callId, pending);
		this.#send(peer, {
			type: 'call',
			id: pending.callId,
			call: {
				service: pending.request.service, operation: '', className: '', level: 0, floor: 0, root: '', idempotent: true, tokens: 0,
				budgetMs: pending.deadlineMs - this.#nowMs, payload: pending.request,
			},
		});
	}

	#send(peer: string, frame: Frame): void {
		if (peer === this.#options.id) {
			this.#onFrame(peer, frame);
			return;
		}

		const state = this.#linkStates.get(peer);
		if (state === 'up') {
			this.#outputs.push({
				type: 'frame', peer, side: 'out', frame,
			});
			return;
		}

		this.#framesAwaitingLink.set(peer, [...(this.#framesAwaitingLink.get(peer) ?? []), frame]);
		if (state === undefined) {
			this.#linkStates.set(peer, 'dialing');
			this.#outputs.push({type: 'connect', peer, address: peer});
		}
	}

	#onLink(peer: string, side: 'in' | 'out', up: boolean): void {
		if (side === 'in') {
			return;
		}

		const frames = this.#framesAwaitingLink.get(peer) ?? [];
		this.#framesAwaitingLink.delete(peer);
		if (up) {
			this.#linkStates.set(peer, 'up');
			for (const frame of frames) {
				this.#send(peer, frame);
			}

			return;
		}

		this.#linkStates.delete(peer);
		this.#unreachableUntilMs.set(peer, this.#nowMs + UNREACHABLE_MS);
		for (const pending of this.#attempts.values()) {
			if (pending.upstream === peer) {
				this.#onAnswer(pending.callId, {outcome: 'unknown', reason: 'lost'});
			}
		}
	}

	#onFrame(peer: string, frame: Frame): void {
		if (frame.type === 'answer') {
			this.#onAnswer(frame.id, frame.answer);
		} else if (frame.type === 'call') {
			this.#admit({
				runId: this.#nextId++,
				peer,
				callId: frame.id,
				payload: frame.call.payload as FakeRequest,
				arrivedMs: this.#nowMs,
				deadlineMs: this.#nowMs + frame.call.budgetMs,
				startedMs: 0,
			});
		}
	}

	#onAnswer(callId: number, answer: Answer): void {
		const pending = this.#attempts.get(callId);
		this.#attempts.delete(callId);
		if (pending === undefined || this.#requests.get(pending.id) !== pending) {
			return;
		}

		const mayRetry = answer.outcome === 'not-run' || pending.request.idempotent;
		if (answer.outcome !== 'complete' && mayRetry && pending.attemptsMade <= MAX_RETRIES_PER_HOP && pending.deadlineMs > this.#nowMs) {
			this.#route(pending);
			return;
		}

		this.#requests.delete(pending.id);
		this.#outputs.push({type: 'respond', id: pending.id, answer});
	}

	#expireRequests(): void {
		for (const pending of this.#requests.values()) {
			if (pending.deadlineMs <= this.#nowMs) {
				this.#attempts.delete(pending.callId);
				this.#requests.delete(pending.id);
				this.#outputs.push({type: 'respond', id: pending.id, answer: {outcome: 'unknown', reason: 'deadline'}});
			}
		}
	}

	#admit(call: TargetCall): void {
		const {policy} = this.#options;
		if (this.#runningCount < policy.concurrencyLimit() && this.#queue.length === 0) {
			this.#dispatch(call);
		} else if (policy.mayQueue(this.#queue.length)) {
			this.#queue.push(call);
		} else {
			this.#answer(call, {outcome: 'not-run', reason: 'overload'});
		}
	}

	#dispatch(call: TargetCall): void {
		this.#runningCount++;
		call.startedMs = this.#nowMs;
		this.#runningCalls.set(call.runId, call);
		this.#outputs.push({
			type: 'dispatch', id: call.runId, budgetMs: 0, payload: call.payload,
		});
	}

	#onResult(runId: number, complete: boolean, unsent: boolean): void {
		const call = this.#runningCalls.get(runId);
		if (call === undefined) {
			return;
		}

		const {policy} = this.#options;
		this.#runningCalls.delete(runId);
		this.#runningCount--;
		policy.onResult(this.#nowMs - call.startedMs, complete, this.#nowMs);
		const failure: Answer = unsent ? {outcome: 'not-run', reason: 'target-unreachable'} : {outcome: 'unknown', reason: 'target-failed'};
		this.#answer(call, complete ? {outcome: 'complete', payload: {digest: call.payload.digest}} : failure);
		while (this.#runningCount < policy.concurrencyLimit()) {
			const nextCall = this.#queue.shift();
			if (nextCall === undefined) {
				return;
			}

			const isExpired = this.#options.propagatesDeadlines && nextCall.deadlineMs <= this.#nowMs;
			if (policy.shouldDrop(this.#nowMs - nextCall.arrivedMs, this.#nowMs, isExpired)) {
				this.#answer(nextCall, {outcome: 'not-run', reason: 'overload'});
			} else {
				this.#dispatch(nextCall);
			}
		}
	}

	#answer(call: TargetCall, answer: Answer): void {
		const frame: Frame = {
			type: 'answer', id: call.callId, answer, tokens: 0, load: {outstanding: 0, limit: 0}, pressure: [],
		};
		if (call.peer === this.#options.id) {
			this.#onAnswer(call.callId, answer);
		} else {
			this.#outputs.push({
				type: 'frame', peer: call.peer, side: 'in', frame,
			});
		}
	}
}

function deadlineAfter(nowMs: number, ms: number): number {
	return nowMs + ms;
}
