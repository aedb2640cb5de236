import {
	type Answer, REFUSED_RETRY_AFTER_MS, type Reason, createRefusal,
} from './answer.js';
import {FloorController} from './floorcontroller.js';
import {type Call, type LoadReport} from './frame.js';
import {admitKey} from './keyadmission.js';
import {type CoreContext} from './corecontext.js';
import {type Ledger} from './ledger.js';
import {rankOf} from './level.js';
import {QueueForecast} from './queueforecast.js';
import {ConcurrencyLimit} from './concurrencylimit.js';
import {type Announcement, type TargetResult} from './message.js';
import {SlotUsage, type SlotTime} from './slotusage.js';
import {PriorityQueue} from './priorityqueue.js';
import {TargetGuard} from './targetguard.js';
import {TargetSlots} from './targetslots.js';
import {TimerWheel} from './timerwheel.js';
import {
	type AdmissionParts, type AnswerSink, type CancelReason, type Origin, type ReceivedCall, answerFromResult, createReceivedCall, expiryReasonOf,
} from './receivedcall.js';

/** Interval at which a queued call past its queue limit is checked again while a lower rank waits, in ms. */
const EXPIRY_RETRY_MS = 50;
/** Time after which an announcement that the target does not renew lapses, in ms. */
export const ANNOUNCEMENT_LEASE_MS = 3000;
/** Consecutive failures to reach the target after which it counts as withdrawn. */
const MAX_UNREACHABLE_RUNS = 3;

/**
 * Admits, queues or refuses the calls to the target beside this daemon. Only
 * this daemon assigns the target's slots, so admission needs no consensus. While
 * a call of a lower level is queued, no call of a higher level is refused.
 */
export class AdmissionController {
	readonly floorController = new FloorController();
	readonly #context: CoreContext;
	readonly #ledger: Ledger;
	readonly #sendAnswer: AnswerSink;
	readonly #onEnded: (received: ReceivedCall) => void;
	readonly #queue = new PriorityQueue<ReceivedCall>();
	readonly #slots = new TargetSlots(() => this.limit);
	readonly #forecast: QueueForecast;
	readonly #receivedCalls = new Map<number, ReceivedCall>();
	readonly #timers = new TimerWheel();
	#concurrencyLimit: ConcurrencyLimit | undefined;
	#announcement: Announcement | undefined;
	#announcedMs = 0;
	#nextId = 1;
	readonly #slotUsage = new SlotUsage();
	#unreachableRuns = 0;
	#isDraining = false;
	#isRunningNext = false;
	readonly #guard: TargetGuard | undefined;

	constructor({coreContext, ledger, bounds, answer, onEnded, quarantine}: AdmissionParts) {
		this.#context = coreContext;
		this.#ledger = ledger;
		this.#forecast = new QueueForecast({
			queue: this.#queue, slotUsage: this.#slotUsage, bounds, limit: () => this.limit, running: () => this.running,
		});
		this.#guard = quarantine && new TargetGuard({
			...quarantine,
			coreContext,
			queue: this.#slots,
			service: () => this.#announcement?.service,
			hasRunsFrom: untilMs => [...this.#receivedCalls.values()].some(({startedMs}) => startedMs > 0 && startedMs <= untilMs),
			start: received => {
				this.#run(received);
			},
			admit: received => {
				this.#runOrEnqueue(received);
			},
			finish: this.#finish.bind(this),
		});
		this.#sendAnswer = answer;
		this.#onEnded = onEnded;
	}

	get announcement(): Announcement | undefined {
		return this.#announcement;
	}

	get limit(): number {
		return this.#concurrencyLimit?.value ?? 0;
	}

	get running(): number {
		return this.#slots.running;
	}

	get queued(): number {
		return this.#queue.length;
	}

	get isEmpty(): boolean {
		return this.#receivedCalls.size === 0;
	}

	/** The slot time used so far and the part of it that ended without a complete answer, in ms. */
	get slotTime(): SlotTime {
		return this.#slotUsage.slotTime;
	}

	reportLoad(): LoadReport {
		return {outstanding: this.running + this.#queue.length, limit: this.limit};
	}

	/** Returns the running call that a context header names. */
	findRunning(id: number): ReceivedCall | undefined {
		const received = this.#receivedCalls.get(id);
		return received !== undefined && received.startedMs > 0 ? received : undefined;
	}

	/** @returns whether the target's service or number of slots has changed */
	announce(announcement: Announcement): boolean {
		this.#announcedMs = this.#context.nowMs;
		const previous = this.#announcement;
		if (previous?.service === announcement.service && previous.slots === announcement.slots) {
			return false;
		}

		this.#announcement = announcement;
		this.#concurrencyLimit = new ConcurrencyLimit(announcement.slots, announcement.cold);
		this.#unreachableRuns = 0;
		return true;
	}

	/** Refuses all queued calls and stops admitting; running calls continue. */
	withdraw(): boolean {
		if (this.#announcement === undefined) {
			return false;
		}

		this.#announcement = undefined;
		for (const received of [...this.#queue.clear(), ...this.#guard?.trials.clear() ?? []]) {
			this.#finish(received, createRefusal('draining', REFUSED_RETRY_AFTER_MS, true));
		}

		return true;
	}

	drain(): void {
		this.#isDraining = true;
	}

	/** Runs a call, queues it, joins it to a running call with the same key, or refuses it at once. */
	admit(origin: Origin, call: Call): void {
		const received = this.#createReceivedCall(origin, call);
		if (call.budgetMs <= 0) {
			this.#refuse(received, expiryReasonOf(received));
			return;
		}

		if (call.key !== undefined && !call.idempotent && !this.#beginKey(received, call.key)) {
			return;
		}

		if (this.#concurrencyLimit === undefined || this.#announcement?.service !== call.service || this.#isDraining) {
			this.#finish(received, createRefusal('draining', REFUSED_RETRY_AFTER_MS, true));
			return;
		}

		this.floorController.onArrival(call.level, call.floor);
		this.#receivedCalls.set(received.id, received);
		this.#timers.add(received.id, received.expiresMs);
		if (this.#guard?.trials.take(received, this.#context.nowMs) !== true) {
			this.#runOrEnqueue(received);
		}
	}

	/** The target has answered a run or aborted it. */
	onResult(id: number, result: TargetResult): void {
		const received = this.#receivedCalls.get(id);
		if (received === undefined) {
			this.#context.counters.add('late_result', '');
			return;
		}

		this.#slots.release();
		const spentMs = this.#context.nowMs - received.startedMs;
		const answer = this.#evaluateResult(received, result);
		this.#slotUsage.recordRun(spentMs, answer.outcome === 'complete');
		this.#finish(received, answer);
		this.#guard?.onRunEnded(received, result);
		this.#runNext();
	}

	/** The caller no longer waits. A run that must not be repeated still completes, so that the ledger records its answer. */
	cancel(origin: Origin): void {
		for (const received of this.#receivedCalls.values()) {
			if (received.origin.peer === origin.peer && received.origin.callId === origin.callId) {
				this.#cancelReceived(received, 'cancelled');
				return;
			}
		}
	}

	/** The link to a peer is down, so no caller waits for its calls any more. */
	cancelCallsFrom(peer: string): void {
		for (const received of this.#receivedCalls.values()) {
			if (received.origin.peer === peer) {
				this.#cancelReceived(received, 'cancelled');
			}
		}
	}

	/** @returns true when the target's announcement has lapsed */
	tick(): boolean {
		const {nowMs, pausedMs} = this.#context;
		this.#announcedMs = Math.min(nowMs, this.#announcedMs + pausedMs);
		for (const id of this.#timers.takeDue(nowMs)) {
			this.#expire(id, nowMs);
		}

		this.#guard?.check();
		this.#runNext();
		this.floorController.update(nowMs, () => this.#forecast.createLoadView());
		return this.#announcement !== undefined
			&& nowMs - this.#announcedMs > ANNOUNCEMENT_LEASE_MS
			&& this.withdraw();
	}

	#createReceivedCall(origin: Origin, call: Call): ReceivedCall {
		return createReceivedCall({id: this.#nextId++, origin, call}, {
			nowMs: this.#context.nowMs,
			queueLimitMs: this.#forecast.limitMs,
			serviceMs: this.#slotUsage.meanRunMs,
			mayHaveWaitedInPause: this.#context.pausedMs > 0,
			fingerprintOf: () => this.#guard?.fingerprintOf(call) ?? '',
		});
	}

	// Returns whether the ledger lets the key run. Otherwise the call is answered here, or when the running call ends.
	#beginKey(received: ReceivedCall, key: string): boolean {
		const {call, origin} = received;
		const decision = admitKey(this.#ledger, call, key, this.#context.nowMs);
		if (decision.counter !== undefined) {
			this.#context.counters.add(decision.counter, call.service);
		}

		if (decision.kind === 'answer') {
			this.#sendAnswer(origin, decision.answer, call.tokens);
		} else if (decision.kind === 'wait') {
			this.#ledger.addWaiter(key, answer => {
				this.#sendAnswer(origin, answer, call.tokens);
			});
		}

		received.holdsKey = decision.kind === 'run';
		return received.holdsKey;
	}

	#runOrEnqueue(received: ReceivedCall): void {
		if (this.#queue.length === 0 && this.#slots.isFree) {
			this.#slots.takeSlot();
			this.#run(received);
		} else {
			this.#enqueue(received);
		}
	}

	#enqueue(received: ReceivedCall): void {
		if (this.#forecast.wouldExpire(received, this.floorController)) {
			this.#refuse(received, 'overload');
			return;
		}

		if (this.#queue.length >= this.#forecast.capacity) {
			if (this.#queue.lowestLevel! >= received.level) {
				this.#refuse(received, 'overload');
				return;
			}

			this.#refuse(this.#queue.evict()!, 'evicted');
		}

		this.#queue.push(received);
		this.floorController.update(this.#context.nowMs, () => this.#forecast.createLoadView());
		this.#runNext();
	}

	#run(received: ReceivedCall): void {
		const {nowMs} = this.#context;
		received.startedMs = nowMs;
		this.#timers.add(received.id, received.deadlineMs);
		this.#context.emit({
			type: 'dispatch',
			id: received.id,
			budgetMs: received.deadlineMs - nowMs,
			key: received.call.key,
			payload: received.call.payload,
		});
	}

	#runNext(): void {
		if (this.#isRunningNext) {
			return;
		}

		this.#isRunningNext = true;
		try {
			this.#runQueued(this.#context.nowMs);
		} finally {
			this.#isRunningNext = false;
		}
	}

	#runQueued(nowMs: number): void {
		this.#guard?.trials.advance(nowMs);
		while (this.#slots.isFree) {
			const received = this.#queue.pop();
			if (received === undefined) {
				return;
			}

			if (received.deadlineMs <= nowMs) {
				this.#refuse(received, expiryReasonOf(received));
			} else if (this.#guard?.trials.take(received, nowMs) !== true) {
				this.#slots.takeSlot();
				this.#run(received);
			}
		}
	}

	#expire(id: number, nowMs: number): void {
		const received = this.#receivedCalls.get(id);
		if (received === undefined) {
			return;
		}

		if (received.startedMs === 0) {
			this.#expireQueued(received, nowMs);
		} else if (received.deadlineMs <= nowMs) {
			this.#cancelReceived(received, 'deadline');
		}
	}

	// While a call of a lower rank is queued, a call may wait past its queue limit up
	// to its deadline, because it must not be refused before the lower one.
	#expireQueued(received: ReceivedCall, nowMs: number): void {
		const lowestQueued = this.#queue.lowestLevel;
		if (received.deadlineMs > nowMs && lowestQueued !== undefined && rankOf(lowestQueued) < rankOf(received.level)) {
			this.#timers.add(received.id, Math.min(received.deadlineMs, nowMs + EXPIRY_RETRY_MS));
		} else if (this.#removeWaiting(received)) {
			this.#refuse(received, expiryReasonOf(received));
		}
	}

	#cancelReceived(received: ReceivedCall, reason: CancelReason): void {
		if (received.startedMs === 0) {
			this.#removeWaiting(received);
			this.#refuse(received, reason);
		} else if (received.call.idempotent && !received.childMayHaveRun && received.cancelReason === undefined) {
			received.cancelReason = reason;
			this.#context.emit({type: 'cancel', id: received.id});
		}
	}

	#removeWaiting(received: ReceivedCall): boolean {
		return this.#queue.remove(received) || this.#guard?.trials.cancel(received) === true;
	}

	#refuse(received: ReceivedCall, reason: Reason): void {
		const retryable = reason === 'overload' || reason === 'evicted';
		this.#finish(received, createRefusal(reason, REFUSED_RETRY_AFTER_MS, retryable));
	}

	#finish(received: ReceivedCall, answer: Answer): void {
		this.#receivedCalls.delete(received.id);
		this.#onEnded(received);
		if (received.holdsKey) {
			this.#ledger.finish(received.call.key!, answer);
		}

		if (answer.outcome !== 'complete') {
			this.#context.counters.add('refused', `${received.call.service}|${received.call.className}|${answer.reason}`);
		}

		this.#sendAnswer(received.origin, answer, received.tokens);
	}

	#evaluateResult(received: ReceivedCall, result: TargetResult): Answer {
		if (result.kind === 'unsent') {
			this.#onUnreachable();
		} else if (result.kind === 'whole') {
			this.#unreachableRuns = 0;
		}

		const answer = answerFromResult(received, result);
		this.#concurrencyLimit?.onAnswer(answer);
		return answer;
	}

	#onUnreachable(): void {
		this.#unreachableRuns++;
		if (this.#unreachableRuns >= MAX_UNREACHABLE_RUNS && this.withdraw()) {
			this.#context.log('target_unreachable', {failures: this.#unreachableRuns});
		}
	}
}
