import {
	type Answer, REFUSED_RETRY_AFTER_MS, type Reason, createRefusal,
} from './answer.js';
import {FloorController} from './floorcontroller.js';
import {type Call, type LoadReport} from './frame.js';
import {admitKey} from './keyadmission.js';
import {type CoreContext} from './corecontext.js';
import {type Ledger} from './ledger.js';
import {rankOf} from './level.js';
import {ConcurrencyLimit} from './concurrencylimit.js';
import {type Announcement, type TargetResult} from './message.js';
import {SlotUsage, type SlotTime} from './slotusage.js';
import {PriorityQueue} from './priorityqueue.js';
import {TimerWheel} from './timerwheel.js';
import {
	type AdmissionParts, type AnswerSink, type Origin, type QueueBounds, type ReceivedCall, answerFromResult, expiryReasonOf,
} from './receivedcall.js';

const MIN_QUEUE = 4;
const DEFAULT_QUEUE_MS = 100;
const EXPIRY_RETRY_MS = 50;
/** How long a target's announcement holds without being renewed, in ms. */
export const ANNOUNCEMENT_LEASE_MS = 3000;
const UNREACHABLE_LIMIT = 3;

/**
 * Decides what the target beside this daemon runs. The target's slots have this
 * one owner, so admission needs no agreement. While anything of a lower level
 * is queued, nothing of a higher level is refused.
 */
export class AdmissionController {
	readonly floorController = new FloorController();
	readonly #kernel: CoreContext;
	readonly #ledger: Ledger;
	readonly #answer: AnswerSink;
	readonly #ended: (work: ReceivedCall) => void;
	readonly #bounds: () => QueueBounds | undefined;
	readonly #queue = new PriorityQueue<ReceivedCall>();
	readonly #works = new Map<number, ReceivedCall>();
	readonly #timeouts = new TimerWheel();
	#limit: ConcurrencyLimit | undefined;
	#announcement: Announcement | undefined;
	#announcedMs = 0;
	#running = 0;
	#nextId = 1;
	readonly #occupancy = new SlotUsage();
	#unreachable = 0;
	#draining = false;

	constructor({kernel, ledger, bounds, answer, onEnded: ended}: AdmissionParts) {
		this.#kernel = kernel;
		this.#ledger = ledger;
		this.#bounds = bounds;
		this.#answer = answer;
		this.#ended = ended;
	}

	get announcement(): Announcement | undefined {
		return this.#announcement;
	}

	get limit(): number {
		return this.#limit?.value ?? 0;
	}

	get running(): number {
		return this.#running;
	}

	get queued(): number {
		return this.#queue.length;
	}

	get isEmpty(): boolean {
		return this.#works.size === 0;
	}

	/** Slot time spent so far and the part of it that led to no whole answer, in ms. */
	get slotTime(): SlotTime {
		return this.#occupancy.slotTime;
	}

	reportLoad(): LoadReport {
		return {outstanding: this.#running + this.#queue.length, limit: this.limit};
	}

	/** The running work that a context header names. */
	findRunning(id: number): ReceivedCall | undefined {
		const work = this.#works.get(id);
		return work !== undefined && work.startedMs > 0 ? work : undefined;
	}

	/** @returns whether what is known of the target has changed */
	announce(announcement: Announcement): boolean {
		this.#announcedMs = this.#kernel.nowMs;
		const held = this.#announcement;
		if (held?.service === announcement.service && held.slots === announcement.slots) {
			return false;
		}

		this.#announcement = announcement;
		this.#limit = new ConcurrencyLimit(announcement.slots, announcement.cold);
		this.#unreachable = 0;
		return true;
	}

	/** The target takes no new work; what it runs goes on. */
	withdraw(): boolean {
		if (this.#announcement === undefined) {
			return false;
		}

		this.#announcement = undefined;
		for (const work of this.#queue.clear()) {
			this.#finish(work, createRefusal('draining', REFUSED_RETRY_AFTER_MS, true));
		}

		return true;
	}

	drain(): void {
		this.#draining = true;
	}

	/** Takes a call in: runs it, queues it, joins it to a running one, or refuses it at once. */
	admit(origin: Origin, call: Call): void {
		const work = this.#workOf(origin, call);
		if (call.budgetMs <= 0) {
			this.#refuse(work, expiryReasonOf(work));
			return;
		}

		if (call.key !== undefined && !call.idempotent && !this.#beginKey(work, call.key)) {
			return;
		}

		if (this.#limit === undefined || this.#announcement?.service !== call.service || this.#draining) {
			this.#finish(work, createRefusal('draining', REFUSED_RETRY_AFTER_MS, true));
			return;
		}

		this.floorController.onArrival(call.level, call.floor);
		this.#works.set(work.id, work);
		this.#timeouts.add(work.id, work.expiresMs);
		if (this.#running < this.#limit.value && this.#queue.length === 0) {
			this.#run(work);
			return;
		}

		this.#enqueue(work);
	}

	/** The target has answered, or broke off. */
	onResult(id: number, result: TargetResult): void {
		const work = this.#works.get(id);
		if (work === undefined) {
			this.#kernel.counters.add('late_result', '');
			return;
		}

		this.#running--;
		const spentMs = this.#kernel.nowMs - work.startedMs;
		const answer = this.#judge(work, result);
		this.#occupancy.recordRun(spentMs, answer.outcome === 'complete');
		this.#finish(work, answer);
		this.#runNext();
	}

	/** The caller has left. Work that must not run twice is finished and recorded. */
	cancel(origin: Origin): void {
		for (const work of this.#works.values()) {
			if (work.origin.peer === origin.peer && work.origin.callId === origin.callId) {
				this.#cancelWork(work);
				return;
			}
		}
	}

	/** A peer's link is gone: nobody waits for its calls any more. */
	cancelCallsFrom(peer: string): void {
		for (const work of this.#works.values()) {
			if (work.origin.peer === peer) {
				this.#cancelWork(work);
			}
		}
	}

	/** @returns true when the target's announcement ran out */
	tick(): boolean {
		const {nowMs} = this.#kernel;
		for (const id of this.#timeouts.takeDue(nowMs)) {
			this.#expire(id, nowMs);
		}

		this.floorController.update(nowMs, () => this.#loadView());
		return this.#announcement !== undefined
			&& nowMs - this.#announcedMs > ANNOUNCEMENT_LEASE_MS
			&& this.withdraw();
	}

	#workOf(origin: Origin, call: Call): ReceivedCall {
		const {nowMs} = this.#kernel;
		const deadlineMs = nowMs + call.budgetMs;
		return {
			id: this.#nextId++,
			origin,
			call,
			level: call.level,
			deadlineMs,
			expiresMs: Math.min(deadlineMs, nowMs + this.#queueLimitMs()),
			startedMs: 0,
			tokens: call.tokens,
			holdsKey: false,
			hasMadeChildCall: false,
			hasFailedChild: false,
			childMayHaveRun: false,
			cancelled: false,
			mayHaveWaitedInPause: this.#kernel.pausedMs > 0,
		};
	}

	// Only a key that this ledger lets run goes on; all others are answered here.
	#beginKey(work: ReceivedCall, key: string): boolean {
		const {call, origin} = work;
		const verdict = admitKey(this.#ledger, call, key, this.#kernel.nowMs);
		if (verdict.counter !== undefined) {
			this.#kernel.counters.add(verdict.counter, call.service);
		}

		if (verdict.kind === 'answer') {
			this.#answer(origin, verdict.answer, call.tokens);
		} else if (verdict.kind === 'wait') {
			this.#ledger.addWaiter(key, answer => {
				this.#answer(origin, answer, call.tokens);
			});
		}

		work.holdsKey = verdict.kind === 'run';
		return work.holdsKey;
	}

	#enqueue(work: ReceivedCall): void {
		if (this.#isHopeless(work)) {
			this.#refuse(work, 'overload');
			return;
		}

		if (this.#queue.length >= this.#capacity()) {
			if (this.#queue.lowestLevel! >= work.level) {
				this.#refuse(work, 'overload');
				return;
			}

			this.#refuse(this.#queue.evict()!, 'evicted');
		}

		this.#queue.push(work);
		this.floorController.update(this.#kernel.nowMs, () => this.#loadView());
		this.#runNext();
	}

	// One that would only wait until it expires is refused now, so that no slots are
	// held for it above; never before something of a lower rank.
	#isHopeless({level}: ReceivedCall): boolean {
		const rank = rankOf(level);
		const {lowestLevel = 0, length} = this.#queue;
		return length > MIN_QUEUE && rankOf(lowestLevel) >= rank
			&& this.floorController.estimateWaitMs(rank, length, this.#serviceRate()) > this.#queueLimitMs();
	}

	#queueLimitMs(): number {
		return this.#bounds()?.queueLimitMs ?? DEFAULT_QUEUE_MS;
	}

	#capacity(): number {
		return Math.max(MIN_QUEUE, Math.ceil(this.#queueLimitMs() * this.#serviceRate()));
	}

	#serviceRate(): number {
		return Math.max(1, this.limit) / this.#occupancy.meanRunMs;
	}

	#loadView() {
		return {
			serviceRate: this.#serviceRate(),
			waiting: (level: number) => this.#queue.countAtLeast(level),
			queueTargetMs: this.#bounds()?.queueTargetMs ?? DEFAULT_QUEUE_MS / 2,
			saturated: this.#queue.length > 0 || this.#running >= this.limit,
		};
	}

	#run(work: ReceivedCall): void {
		const {nowMs} = this.#kernel;
		work.startedMs = nowMs;
		this.#running++;
		this.#timeouts.add(work.id, work.deadlineMs);
		this.#kernel.emit({
			type: 'dispatch',
			id: work.id,
			budgetMs: work.deadlineMs - nowMs,
			key: work.call.key,
			payload: work.call.payload,
		});
	}

	#runNext(): void {
		const {nowMs} = this.#kernel;
		while (this.#running < this.limit) {
			const work = this.#queue.pop();
			if (work === undefined) {
				return;
			}

			if (work.deadlineMs <= nowMs) {
				this.#refuse(work, expiryReasonOf(work));
			} else {
				this.#run(work);
			}
		}
	}

	#expire(id: number, nowMs: number): void {
		const work = this.#works.get(id);
		if (work === undefined) {
			return;
		}

		if (work.startedMs === 0) {
			this.#expireQueued(work, nowMs);
		} else if (work.deadlineMs <= nowMs) {
			this.#cancelWork(work);
		}
	}

	// While something of a lower rank is queued, a request waits for its turn up to
	// its deadline rather than being refused before the other.
	#expireQueued(work: ReceivedCall, nowMs: number): void {
		const lowest = this.#queue.lowestLevel;
		if (work.deadlineMs > nowMs && lowest !== undefined && rankOf(lowest) < rankOf(work.level)) {
			this.#timeouts.add(work.id, Math.min(work.deadlineMs, nowMs + EXPIRY_RETRY_MS));
		} else if (this.#queue.remove(work)) {
			this.#refuse(work, expiryReasonOf(work));
		}
	}

	#cancelWork(work: ReceivedCall): void {
		if (work.startedMs === 0) {
			this.#queue.remove(work);
			this.#refuse(work, 'cancelled');
		} else if (work.call.idempotent && !work.childMayHaveRun && !work.cancelled) {
			work.cancelled = true;
			this.#kernel.emit({type: 'cancel', id: work.id});
		}
	}

	#refuse(work: ReceivedCall, reason: Reason): void {
		const retryable = reason === 'overload' || reason === 'evicted';
		this.#finish(work, createRefusal(reason, REFUSED_RETRY_AFTER_MS, retryable));
	}

	#finish(work: ReceivedCall, answer: Answer): void {
		this.#works.delete(work.id);
		this.#ended(work);
		if (work.holdsKey) {
			this.#ledger.finish(work.call.key!, answer);
		}

		if (answer.outcome !== 'complete') {
			this.#kernel.counters.add('refused', `${work.call.service}|${work.call.className}|${answer.reason}`);
		}

		this.#answer(work.origin, answer, work.tokens);
	}

	#judge(work: ReceivedCall, result: TargetResult): Answer {
		if (result.kind === 'unsent') {
			this.#onUnreachable();
		} else if (result.kind === 'whole') {
			this.#unreachable = 0;
		}

		const answer = answerFromResult(work, result);
		if (answer.outcome === 'complete') {
			this.#limit?.onSuccess();
		} else if (answer.reason === 'target-refused') {
			this.#limit?.onRefusal();
		}

		return answer;
	}

	#onUnreachable(): void {
		this.#unreachable++;
		if (this.#unreachable >= UNREACHABLE_LIMIT && this.withdraw()) {
			this.#kernel.log('target_unreachable', {failures: this.#unreachable});
		}
	}
}
