import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	AdmissionQueue, type RunOutcome, type TargetLifecycle, type TargetSignals, type LoadReport, type LoadShedder,
} from '../../mesh/index.js';
import {
	type Call, type CallHandle, type CallSink, type FailureReason, type RefusalReason,
} from '../call.js';
import {type DecodeError} from '../error.js';
import {PeriodicCheck} from '../periodiccheck.js';
import {CallOwner, OwnedCall} from './ownedcall.js';
import {OwnFloor} from './ownfloor.js';
import {OwnSignals} from './ownsignals.js';
import {type QuarantineParts, QuarantineGuard} from './quarantineguard.js';
import {logRefusal} from './refusallog.js';
import {RunRecorder} from './runrecorder.js';
import {type TargetClient} from './targetclient.js';

/** How long a run may exceed its deadline before its connection is closed, in ms: the target normally stops at the deadline by itself. */
const DEADLINE_OVERRUN_MS = 150;
/** How long a run may continue after its sender cancels it, in ms: well within the half second in which a target must learn of a cancellation. */
const MAX_ABANDONED_RUN_MS = 200;
/** How long calls are refused after the target was unreachable, in ms. */
const UNREACHABLE_PAUSE_MS = 300;

export type TargetOwnerOptions = QuarantineParts & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly lifecycle: TargetLifecycle;
	readonly targetClient: TargetClient;
	readonly loadShedder: LoadShedder;
	/** What an organisation is entitled to, in relation to the others. */
	readonly weightOf: (organisation: string) => number;
	/** Called when peers should hear by what factor the target is slower than usual; 1 if it no longer is. */
	readonly onSlowness: (slowness: number) => void;
	/** Called when the target says in an answer that it leaves, with whether that is its first answer here. */
	readonly onLeaving: (instance: string, isFirstAnswer: boolean) => void;
	/** Reads the load of the target's machine from its load header; absent if it isn't used. */
	readonly decodeMachineLoad?: ((load: string) => number | undefined) | undefined;
};

/**
 * Owns the concurrency slots of the target beside this daemon. Every call to
 * the target passes through here, so a call that is refused here has not run,
 * and a target that deregisters gets no more calls even if other daemons
 * still consider it available.
 */
export class TargetOwner extends CallOwner {
	readonly #options: TargetOwnerOptions;
	readonly #queue: AdmissionQueue<OwnedCall>;
	readonly #runRecorder: RunRecorder;
	readonly #ownSignals: OwnSignals;
	readonly #ownFloor: OwnFloor;
	readonly #guard: QuarantineGuard;
	readonly #running = new Set<OwnedCall>();
	readonly #runningByAttempt = new Map<string, OwnedCall>();
	readonly #periodicCheck = new PeriodicCheck(() => {
		const nowMs = this.#options.clock.nowMs();
		this.#ownFloor.update(nowMs);
		this.checkTimes(nowMs);
		this.#startQueued();
		return this.#queue.queued > 0 || this.#running.size > 0 || this.#guard.trials.isActive;
	});

	/** How many calls the target runs at once if that doesn't slow it down. */
	#usualLimit = 1;
	#unreachableUntilMs = 0;
	#isStopping = false;
	#isStartingQueued = false;

	constructor(options: TargetOwnerOptions) {
		super();
		this.#options = options;
		this.#queue = new AdmissionQueue(1, options.weightOf);
		this.#runRecorder = new RunRecorder(options);
		this.#ownSignals = new OwnSignals({...options, queue: this.#queue});
		this.#ownFloor = new OwnFloor({...options, queue: this.#queue});
		this.#guard = new QuarantineGuard({
			...options,
			queue: this.#queue,
			hasRunsFrom: beforeMs => [...this.#running].some(({startedMs}) => startedMs < beforeMs),
			start: owned => this.#start(owned),
			admit: owned => {
				this.#admit(owned);
			},
			refuse: (owned, reason) => {
				this.#refuse(owned, reason);
			},
		});
	}

	get running(): number {
		return this.#running.size;
	}

	get queued(): number {
		return this.#queue.queued;
	}

	/** Finds the call with this attempt id among those that the target is running. */
	findRunningCall(attemptId: string): Call | undefined {
		return this.#runningByAttempt.get(attemptId)?.call;
	}

	/** Forgets what was usual for the target before, as another one has taken its place. */
	onTargetJoined(): void {
		this.#guard.onRestarted();
		this.#runRecorder.reset();
		this.#ownSignals.reset();
	}

	/** When the objective of the root request that the run with this attempt id is made for ends, in ms; undefined if it is unknown. */
	findObjectiveEndMs(attemptId: string): number | undefined {
		return this.#runningByAttempt.get(attemptId)?.objectiveEndMs;
	}

	/** Records that the run with this attempt id begins or ends to wait for a nested call. */
	onNestedCall(attemptId: string, change: 'begun' | 'ended'): void {
		this.#runningByAttempt.get(attemptId)?.onNestedCall(change, this.#options.clock.nowMs());
	}

	/** Records that a nested call of the run with this attempt id failed. */
	onNestedFailure(attemptId: string): void {
		const owned = this.#runningByAttempt.get(attemptId);
		if (owned !== undefined) {
			owned.hasNestedFailure = true;
		}
	}

	/** Sets how many calls the target runs at once. */
	setConcurrencyLimit(calls: number): void {
		this.#usualLimit = calls;
		this.#updateLimit();
		this.#startQueued();
	}

	/** Refuses queued calls and all new ones from now on; running calls continue. */
	refuseNewCalls(): void {
		this.#isStopping = true;
		this.#refuseQueued('stopping');
	}

	/** Refuses all queued calls because the target is gone or was replaced, so that their senders try other hosts. */
	onTargetGone(): void {
		this.#refuseQueued('not-here');
	}

	/** Refuses queued calls that waited too long, and ends runs that are past their deadline or were cancelled. */
	checkTimes(nowMs: number): void {
		for (const owned of this.#queue.removeExpired(nowMs)) {
			this.#refuse(owned, 'expired');
		}

		for (const owned of this.#running) {
			if (owned.abandonedAtMs !== undefined && (nowMs > owned.abandonedAtMs + MAX_ABANDONED_RUN_MS || this.#queue.queued > 0)) {
				this.#abortRun(owned);
			} else if (nowMs <= owned.deadlineMs + DEADLINE_OVERRUN_MS) {
				owned.run?.checkReceivedBytes();
			} else {
				this.#abortRun(owned);
				this.onRunFailed(owned, 'deadline');
				owned.sink?.onFailed('deadline', this.getLoadReport(owned.call.template.route));
			}
		}
	}

	submit(call: Call, sink: CallSink): CallHandle {
		const nowMs = this.#options.clock.nowMs();
		const {route} = call.template;
		const owned = new OwnedCall(this, call, sink, {nowMs, serviceMs: this.#runRecorder.expectedMs(route, nowMs), deviationMs: this.#runRecorder.deviationMs(route)});
		const refusal = this.#findRefusal(call, nowMs);
		if (refusal !== undefined) {
			this.#refuse(owned, refusal);
			return owned;
		}

		this.#ownSignals.adoptRateLimit(call, nowMs);
		if (this.#guard.trials.take(owned, nowMs)) {
			this.#periodicCheck.schedule();
		} else {
			this.#admit(owned);
		}

		return owned;
	}

	/** Lists the services that calls of this route reach: the target's own service, and those of nested calls. */
	override listReachedServices({template}: Call): string[] {
		const {lifecycle, loadShedder} = this.#options;
		const own = lifecycle.current?.service;
		return own === undefined ? [] : [own, ...loadShedder.reachedServices({route: template.route, service: own}).filter(service => service !== own)];
	}

	override getLoadReport(route: string): LoadReport {
		return {
			running: this.#queue.running, queued: this.#queue.queued, limit: this.#queue.concurrency, ...this.#runRecorder.describe(route, this.#options.clock.nowMs()),
		};
	}

	/** Cancels a call that nobody waits for any longer. */
	override cancel(owned: OwnedCall): void {
		const nowMs = this.#options.clock.nowMs();
		if (owned.run === undefined) {
			this.#guard.trials.cancel(owned);
			this.#queue.cancel(owned);
		} else if (this.#mayFinish(owned, nowMs)) {
			owned.abandon(nowMs);
		} else {
			this.#abortRun(owned);
		}
	}

	/** @param isServed whether the target ran the call and answered it */
	override onRunEnded(owned: OwnedCall, isServed: boolean, outcome: RunOutcome = 'lost'): void {
		if (!this.#running.delete(owned)) {
			return;
		}

		const {attemptId, template: {route}} = owned.call;
		this.#runningByAttempt.delete(attemptId);
		const nowMs = this.#options.clock.nowMs();
		this.#options.loadShedder.onRunEnded(attemptId, {route, service: this.#options.lifecycle.current?.service ?? ''}, outcome, nowMs);
		const spentMs = nowMs - owned.startedMs;
		this.#guard.trials.onRunEnded(owned, nowMs);
		if (isServed) {
			this.#guard.onServed(owned, nowMs);
			this.#runRecorder.recordRun(owned, this.#queue.running, nowMs);
			this.#updateLimit();
		}

		this.#queue.release(spentMs, isServed);
		this.#startQueued();
	}

	override onOutcome(owned: OwnedCall, hasFailed: boolean): void {
		this.#runRecorder.recordOutcome(owned, hasFailed, this.#options.clock.nowMs());
	}

	override onRunFailed(owned: OwnedCall, reason: FailureReason): void {
		const {call, startedMs} = owned;
		this.onOutcome(owned, true);
		this.#options.log.event('run_failed', {
			attempt: call.attemptId, route: call.template.route, reason, instance: call.instance, ranMs: Math.round(this.#options.clock.nowMs() - startedMs), leftMs: Math.round(call.leftMs),
			...owned.run?.describe(),
		});
	}

	override onUnframedAnswer({call: {attemptId, template: {route}, instance}, run}: OwnedCall): void {
		const description = run!.describe();
		this.#options.log.registry.count('unframed_answers', {connection: description.connection});
		this.#options.log.event('answer_unframed', {
			attempt: attemptId, route, instance, ...description,
		});
	}

	override onRunLost(owned: OwnedCall, settle: (reason: FailureReason) => void): void {
		this.#guard.onRunLost(owned, settle);
	}

	override onUnreachable(owned: OwnedCall): void {
		this.#unreachableUntilMs = this.#options.clock.nowMs() + UNREACHABLE_PAUSE_MS;
		this.#guard.onRefused();
		this.#options.log.warn('target_unreachable', {attempt: owned.call.attemptId, instance: owned.call.instance});
		this.#refuseQueued('unreachable');
	}

	override onMisdirected(owned: OwnedCall): void {
		this.#options.log.warn('target_replaced', {attempt: owned.call.attemptId, expected: owned.call.instance});
		if (this.#options.lifecycle.current?.id === owned.call.instance) {
			this.#options.lifecycle.forget();
			this.#refuseQueued('not-here');
		}
	}

	override onSignals({call: {instance}}: OwnedCall, signals: TargetSignals): void {
		this.applySignals(instance, signals);
	}

	/** Applies what the target says of itself in an answer, that to a health check included. */
	applySignals(instance: string, signals: TargetSignals): void {
		this.#ownSignals.apply(instance, signals);
	}

	override onLoad({call: {instance}}: OwnedCall, load: string): void {
		if (this.#options.lifecycle.current?.id === instance) {
			this.#runRecorder.onLoad(instance, load, this.#options.clock.nowMs());
		}
	}

	override onInvalidSignals({call: {instance, attemptId}}: OwnedCall, error: DecodeError): void {
		this.#options.log.warn('target_signals_rejected', {instance, attempt: attemptId, reason: error.message});
	}

	override onUnknownHeader({call: {instance, attemptId}}: OwnedCall, name: string): void {
		this.#options.log.warn('target_header_unknown', {instance, attempt: attemptId, header: name});
	}

	// Aborting a run costs a connection, so a run that will end soon continues while no call waits for its slot.
	#mayFinish({call, startedMs, serviceMs}: OwnedCall, nowMs: number): boolean {
		const leftMs = startedMs + (serviceMs * 2) - nowMs;
		return !call.hasMoreBody && this.#queue.queued === 0 && leftMs > 0 && leftMs < MAX_ABANDONED_RUN_MS;
	}

	#abortRun(owned: OwnedCall): void {
		owned.run?.cancel();
		this.#guard.onRunAborted(owned, this.#options.clock.nowMs());
		this.onRunEnded(owned, false);
	}

	#findRefusal(call: Call, nowMs: number): RefusalReason | undefined {
		if (this.#isStopping) {
			return 'stopping';
		}

		if (!this.#options.lifecycle.mayServe(call.instance, nowMs)) {
			return 'not-here';
		}

		return nowMs < this.#unreachableUntilMs ? 'unreachable' : undefined;
	}

	#admit(owned: OwnedCall): void {
		const nowMs = this.#options.clock.nowMs();
		this.#options.loadShedder.onArrival(owned.priority, owned.serviceMs, owned.deadlineMs - nowMs);
		const {verdict, evicted} = this.#queue.admit(owned, nowMs);
		this.#ownFloor.update(nowMs);
		for (const other of evicted) {
			this.#refuse(other, 'evicted');
		}

		if (verdict === 'run') {
			this.#start(owned);
		} else if (verdict === 'wait') {
			this.#periodicCheck.schedule();
		} else {
			this.#refuse(owned, verdict);
		}
	}

	/** @returns false if the call doesn't run */
	#start(owned: OwnedCall): boolean {
		const nowMs = this.#options.clock.nowMs();
		if (!this.#options.lifecycle.mayServe(owned.call.instance, nowMs)) {
			this.#queue.release(undefined);
			this.#refuse(owned, 'not-here');
			return false;
		}

		// It may have become a suspect while it waited in the queue.
		if (this.#guard.trials.take(owned, nowMs)) {
			this.#queue.release(undefined);
			return false;
		}

		this.#running.add(owned);
		this.#runningByAttempt.set(owned.call.attemptId, owned);
		this.#periodicCheck.schedule();
		const {isNested, isRepeat} = owned.call;
		this.#options.log.registry.count('runs', {kind: isRepeat ? 'repeat' : (isNested ? 'nested' : 'root')});
		owned.machineLoad = this.#runRecorder.machineLoadAt(nowMs);
		owned.usedShare = this.#queue.running / this.#queue.limit;
		owned.start(this.#options.targetClient, nowMs);
		return true;
	}

	#startQueued(): void {
		if (this.#isStartingQueued) {
			return;
		}

		this.#isStartingQueued = true;
		this.#guard.trials.advance(this.#options.clock.nowMs());
		for (let next = this.#queue.dequeue(this.#options.clock.nowMs()); next !== undefined; next = this.#queue.dequeue(this.#options.clock.nowMs())) {
			if (next.expired) {
				this.#refuse(next.call, 'expired');
			} else {
				this.#start(next.call);
			}
		}

		this.#isStartingQueued = false;
	}

	#updateLimit(): void {
		this.#queue.limit = Math.floor(this.#usualLimit * this.#runRecorder.limitShare);
	}

	#refuseQueued(reason: RefusalReason): void {
		for (const owned of [...this.#queue.clear(), ...this.#guard.trials.clear()]) {
			this.#refuse(owned, reason);
		}
	}

	#refuse(owned: OwnedCall, reason: RefusalReason): void {
		const {log, loadShedder, clock} = this.#options;
		logRefusal(log, owned, reason, {queue: this.#queue, floor: loadShedder.floor, nowMs: clock.nowMs()});
		owned.refuse(reason, this.getLoadReport(owned.call.template.route));
	}
}
