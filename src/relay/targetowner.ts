import {type Clock} from '../clock/index.js';
import {type EventLog} from '../log/index.js';
import {
	AdmissionQueue, type TargetLifecycle, type LoadReport, ServiceTimes, type LoadShedder,
} from '../mesh/index.js';
import {
	type Call, type CallHandle, type CallSink, type FailureReason, type RefusalReason,
} from './call.js';
import {CallOwner, OwnedCall} from './ownedcall.js';
import {PeriodicCheck} from './periodiccheck.js';
import {type TargetClient} from './targetclient.js';

/** How long past its deadline a run may last before its connection is closed, in ms: the target stops at the deadline by itself. */
const OVERRUN_MS = 150;
/** How long a run that nobody waits for may still take, in ms: well within the half second in which a target must hear of it. */
const LINGER_MS = 200;
/** How long an unreachable target is left alone, in ms. */
const UNREACHABLE_MS = 300;

export type TargetOwnerOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly targetClient: TargetClient;
	readonly loadShedder: LoadShedder;
};

/**
 * Owns the slots of the target beside this daemon: whatever reaches the target
 * has passed here, so what is refused here has not run, and a target that
 * leaves gets nothing more whatever the others believe.
 */
export class TargetOwner extends CallOwner {
	readonly #parts: TargetOwnerOptions;
	readonly #gate = new AdmissionQueue<OwnedCall>(1);
	readonly #times = new ServiceTimes();
	readonly #running = new Set<OwnedCall>();
	readonly #attempts = new Map<string, OwnedCall>();
	readonly #sweep = new PeriodicCheck(() => {
		const nowMs = this.#parts.clock.nowMs();
		this.#updateFloor(nowMs);
		this.checkTimes(nowMs);
		return this.#gate.queued > 0 || this.#running.size > 0;
	});

	#unreachableUntilMs = 0;
	#isStopping = false;
	#isPumping = false;

	constructor(parts: TargetOwnerOptions) {
		super();
		this.#parts = parts;
	}

	get running(): number {
		return this.#running.size;
	}

	get queued(): number {
		return this.#gate.queued;
	}

	/** The call that the target runs right now for a client attempt. */
	findRunningCall(attemptId: string): Call | undefined {
		return this.#attempts.get(attemptId)?.call;
	}

	/** A call that a run made didn't succeed. */
	onNestedFailure(attemptId: string): void {
		const owned = this.#attempts.get(attemptId);
		if (owned !== undefined) {
			owned.hasNestedFailure = true;
		}
	}

	/** Sets how many calls the target is given at once. */
	setConcurrencyLimit(calls: number): void {
		this.#gate.limit = calls;
		this.#pump();
	}

	/** From now on nothing new is taken. */
	refuseNewCalls(): void {
		this.#isStopping = true;
		this.#refuseWaiting('stopping');
	}

	/** The target is gone or another one: what waited for it goes elsewhere. */
	onTargetGone(): void {
		this.#refuseWaiting('not-here');
	}

	/** Refuses what waited too long, and ends the runs whose time is over. */
	checkTimes(nowMs: number): void {
		for (const owned of this.#gate.removeExpired(nowMs)) {
			this.#refuse(owned, 'expired');
		}

		for (const owned of this.#running) {
			if (owned.abandonedMs !== undefined && (nowMs > owned.abandonedMs + LINGER_MS || this.#gate.queued > 0)) {
				this.#breakOff(owned);
			} else if (nowMs > owned.deadlineMs + OVERRUN_MS) {
				this.#breakOff(owned);
				this.onRunFailed(owned, 'deadline');
				owned.sink?.onFailed('deadline', this.getLoadReport(owned.call.template.route));
			}
		}
	}

	submit(call: Call, sink: CallSink): CallHandle {
		const nowMs = this.#parts.clock.nowMs();
		const owned = new OwnedCall(this, call, sink, {nowMs, serviceMs: this.#times.expectedMs(call.template.route)});
		const refusal = this.#unfit(call, nowMs);
		if (refusal !== undefined) {
			this.#refuse(owned, refusal);
			return owned;
		}

		this.#parts.loadShedder.onArrival(call.priority, owned.serviceMs);
		const {verdict, evicted} = this.#gate.admit(owned, nowMs);
		this.#updateFloor(nowMs);
		if (evicted !== undefined) {
			this.#refuse(evicted, 'evicted');
		}

		if (verdict === 'run') {
			this.#start(owned);
		} else if (verdict === 'wait') {
			this.#sweep.schedule();
		} else {
			this.#refuse(owned, verdict);
		}

		return owned;
	}

	/** The services that calls of this route reach: the own one, and those of the calls made for them. */
	override listReachedServices({template: shape}: Call): string[] {
		const {lifecycle, loadShedder: shedding} = this.#parts;
		const own = lifecycle.current?.service;
		return own === undefined ? [] : [own, ...shedding.reachedServices({route: shape.route, service: own}).filter(service => service !== own)];
	}

	override getLoadReport(route: string): LoadReport {
		return {
			running: this.#gate.running, queued: this.#gate.queued, limit: this.#gate.limit, serviceMs: this.#times.knownMs(route),
		};
	}

	/** Nobody waits for this call any longer. */
	override cancel(owned: OwnedCall): void {
		const nowMs = this.#parts.clock.nowMs();
		if (owned.run === undefined) {
			this.#gate.cancel(owned);
		} else if (this.#mayEnd(owned, nowMs)) {
			owned.abandon(nowMs);
		} else {
			this.#breakOff(owned);
		}
	}

	/** @param served whether the target ran it to an answer of its own */
	override onRunEnded(owned: OwnedCall, served: boolean): void {
		if (!this.#running.delete(owned)) {
			return;
		}

		this.#attempts.delete(owned.call.attemptId);
		const spentMs = this.#parts.clock.nowMs() - owned.startedMs;
		if (served) {
			this.#times.record(owned.call.template.route, spentMs);
		}

		this.#gate.release(spentMs);
		this.#pump();
	}

	override onRunFailed({call, startedMs}: OwnedCall, reason: FailureReason): void {
		this.#parts.log.event('run_failed', {
			attempt: call.attemptId, route: call.template.route, reason, instance: call.instance, ranMs: Math.round(this.#parts.clock.nowMs() - startedMs), leftMs: Math.round(call.leftMs),
		});
	}

	override onUnreachable(owned: OwnedCall): void {
		this.#unreachableUntilMs = this.#parts.clock.nowMs() + UNREACHABLE_MS;
		this.#parts.log.warn('target_unreachable', {attempt: owned.call.attemptId, instance: owned.call.instance});
		this.#refuseWaiting('unreachable');
	}

	override onMisdirected(owned: OwnedCall): void {
		this.#parts.log.warn('target_replaced', {attempt: owned.call.attemptId, expected: owned.call.instance});
		if (this.#parts.lifecycle.current?.id === owned.call.instance) {
			this.#parts.lifecycle.forget();
			this.#refuseWaiting('not-here');
		}
	}

	// Breaking a run off costs a connection; a short one is let end while nothing waits for its slot.
	#mayEnd({call, startedMs, serviceMs}: OwnedCall, nowMs: number): boolean {
		const leftMs = startedMs + (serviceMs * 2) - nowMs;
		return !call.hasMoreBody && this.#gate.queued === 0 && leftMs > 0 && leftMs < LINGER_MS;
	}

	#breakOff(owned: OwnedCall): void {
		owned.run?.cancel();
		this.onRunEnded(owned, false);
	}

	#unfit(call: Call, nowMs: number): RefusalReason | undefined {
		if (this.#isStopping) {
			return 'stopping';
		}

		if (!this.#parts.lifecycle.mayServe(call.instance, nowMs)) {
			return 'not-here';
		}

		return nowMs < this.#unreachableUntilMs ? 'unreachable' : undefined;
	}

	#start(owned: OwnedCall): void {
		const nowMs = this.#parts.clock.nowMs();
		if (!this.#parts.lifecycle.mayServe(owned.call.instance, nowMs)) {
			this.#gate.release(0);
			this.#refuse(owned, 'not-here');
			return;
		}

		this.#running.add(owned);
		this.#attempts.set(owned.call.attemptId, owned);
		this.#sweep.schedule();
		owned.start(this.#parts.targetClient, nowMs);
	}

	#pump(): void {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		for (let next = this.#gate.dequeue(this.#parts.clock.nowMs()); next !== undefined; next = this.#gate.dequeue(this.#parts.clock.nowMs())) {
			if (next.expired) {
				this.#refuse(next.call, 'expired');
			} else {
				this.#start(next.call);
			}
		}

		this.#isPumping = false;
	}

	#noteFloor(before: number): void {
		const {floor} = this.#parts.loadShedder;
		if ((before === 0) !== (floor === 0)) {
			this.#parts.log.event(floor === 0 ? 'floor_lifted' : 'floor_set', {
				floor, running: this.#gate.running, queued: this.#gate.queued, limit: this.#gate.limit,
			});
		}
	}

	#updateFloor(nowMs: number): void {
		const service = this.#parts.lifecycle.current?.service;
		if (service !== undefined) {
			const before = this.#parts.loadShedder.floor;
			this.#parts.loadShedder.updateFloor(service, {
				limit: this.#gate.limit,
				queuedWorkMs: level => this.#gate.queuedWorkMs(level),
				isSaturated: this.#gate.running >= this.#gate.limit,
			}, nowMs);
			this.#noteFloor(before);
		}
	}

	#refuseWaiting(reason: RefusalReason): void {
		for (const owned of this.#gate.clear()) {
			this.#refuse(owned, reason);
		}
	}

	#refuse(owned: OwnedCall, reason: RefusalReason): void {
		const {call, waitedMs} = owned;
		this.#parts.log.event('owner_refused', {
			attempt: call.attemptId,
			route: call.template.route,
			reason,
			instance: call.instance,
			running: this.#gate.running,
			queued: this.#gate.queued,
			limit: this.#gate.limit,
			level: call.priority.level,
			floor: this.#parts.loadShedder.floor,
			waitedMs: Math.round(waitedMs(this.#parts.clock.nowMs())),
			leftMs: Math.round(call.leftMs),
		});
		owned.refuse(reason, this.getLoadReport(call.template.route));
	}
}
