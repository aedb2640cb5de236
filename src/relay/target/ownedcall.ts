import {type Buffer} from 'node:buffer';
import {
	BusyTime, type QueuedCall, type LoadReport, type Priority, type RunOutcome, type TargetSignals,
} from '../../mesh/index.js';
import {
	type AnswerHead, type Call, type CallHandle, type CallSink, type FailureReason, type RefusalReason, BODY_WINDOW_BYTES,
} from '../call.js';
import {type DecodeError} from '../error.js';
import {fingerprintOf} from '../fingerprint.js';
import {RunSink, type Run} from './run.js';
import {type TargetClient} from './targetclient.js';

/** What a call reports to, and asks of, its owner. */
export abstract class CallOwner {
	abstract getLoadReport(route: string): LoadReport;
	abstract listReachedServices(call: Call): string[];
	/** Cancels a call that nobody waits for any longer. */
	abstract cancel(owned: OwnedCall): void;
	/** @param isServed whether the target ran the call and answered it */
	abstract onRunEnded(owned: OwnedCall, isServed: boolean, outcome: RunOutcome): void;
	/** Called when the target has answered the call or shed it. @param hasFailed whether it shed or failed it by itself */
	abstract onOutcome(owned: OwnedCall, hasFailed: boolean): void;
	/** Called when a run failed without a whole answer. */
	abstract onRunFailed(owned: OwnedCall, reason: FailureReason): void;
	/** Called when the connection of a run broke. @param settle called within moments with whether the target has crashed */
	abstract onRunLost(owned: OwnedCall, settle: (reason: FailureReason) => void): void;
	/** Called when a whole answer ended with its connection. */
	abstract onUnframedAnswer(owned: OwnedCall): void;
	abstract onUnreachable(owned: OwnedCall): void;
	abstract onMisdirected(owned: OwnedCall): void;
	/** Called with what the target says of itself in its answer to the call. */
	abstract onSignals(owned: OwnedCall, signals: TargetSignals): void;
	/** Called with the load header of the target's answer to the call. */
	abstract onLoad(owned: OwnedCall, load: string): void;
	abstract onInvalidSignals(owned: OwnedCall, error: DecodeError): void;
	abstract onUnknownHeader(owned: OwnedCall, name: string): void;
}

/** One call at the owner of its target, from its arrival to its end. */
export class OwnedCall extends RunSink implements QueuedCall, CallHandle {
	readonly call: Call;
	readonly priority: Priority;
	readonly isNested: boolean;
	readonly deadlineMs: number;
	/** When the objective of the root request ends, in ms on the daemon's clock; undefined if it is unknown. */
	readonly objectiveEndMs: number | undefined;
	readonly serviceMs: number;
	readonly deviationMs: number;
	startedMs = 0;
	/** The load of the target's machine when the run began, as the target claims it; undefined if it isn't known. */
	machineLoad: number | undefined;
	/** The share of the concurrency limit in use when the run began. */
	usedShare = 0;
	hasNestedFailure = false;
	run: Run | undefined;
	/** When the sender cancelled the call while its run was allowed to finish, in ms on the daemon's clock. */
	abandonedAtMs: number | undefined;
	#fingerprint: string | undefined;
	#sink: CallSink | undefined;
	readonly #owner: CallOwner;
	readonly #arrivedMs: number;
	readonly #nestedTime = new BusyTime();
	#isStreamed = false;
	#isUnframed = false;
	#answer: RunOutcome = 'lost';
	#pendingChunks: Array<{bytes: Buffer; isLast: boolean}> = [];
	#isOver = false;

	constructor(owner: CallOwner, call: Call, sink: CallSink, arrival: {readonly nowMs: number; readonly serviceMs: number; readonly deviationMs: number}) {
		super();
		const {nowMs, serviceMs, deviationMs} = arrival;
		this.#owner = owner;
		this.#arrivedMs = nowMs;
		this.call = call;
		this.#sink = sink;
		this.priority = call.priority;
		this.isNested = call.isNested;
		this.deadlineMs = nowMs + call.leftMs;
		this.objectiveEndMs = call.objectiveLeftMs === undefined ? undefined : nowMs + call.objectiveLeftMs;
		this.serviceMs = serviceMs;
		this.deviationMs = deviationMs;
	}

	get organisation(): string | undefined {
		return this.call.organisation;
	}

	/** What identifies the request whenever it is sent again. */
	get fingerprint(): string {
		this.#fingerprint ??= fingerprintOf(this.call);
		return this.#fingerprint;
	}

	/** What the body takes at most until the run begins: a streamed one arrives within its window. */
	get bodyBytes(): number {
		return this.call.body.length + (this.call.hasMoreBody ? BODY_WINDOW_BYTES : 0);
	}

	/** The receiver of the outcome; undefined once the call is abandoned. */
	get sink(): CallSink | undefined {
		return this.#sink;
	}

	/** Drops the receiver but lets the run finish, so that its connection stays usable. */
	abandon(nowMs: number): void {
		this.abandonedAtMs = nowMs;
		this.#sink = undefined;
	}

	start(targetClient: TargetClient, nowMs: number): void {
		this.startedMs = nowMs;
		const waitedMs = nowMs - this.#arrivedMs;
		this.run = targetClient.run({...this.call, leftMs: this.call.leftMs - waitedMs}, this);
		for (const {bytes, isLast} of this.#pendingChunks) {
			this.run.write(bytes, isLast);
		}

		this.#pendingChunks = [];
	}

	/** Returns how long the call has waited at this owner, in ms. */
	readonly waitedMs = (nowMs: number): number => nowMs - this.#arrivedMs;

	/** Counts the nested calls that the run waits for. */
	onNestedCall(change: 'begun' | 'ended', nowMs: number): void {
		this.#nestedTime.add(change === 'begun' ? 1 : -1, nowMs);
	}

	/** Returns how long the target itself worked on the call, in ms; undefined if the time depends on the receiver of a streamed body. */
	workMs(nowMs: number): number | undefined {
		return this.#isStreamed || this.call.hasMoreBody ? undefined : nowMs - this.startedMs - this.#nestedTime.totalMs(nowMs);
	}

	refuse(reason: RefusalReason, report: LoadReport): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#sink?.onRefused(reason, report);
		}
	}

	// Called by the sender of the call.

	write(bytes: Buffer, isLast: boolean): void {
		if (this.run === undefined) {
			this.#pendingChunks.push({bytes, isLast});
		} else {
			this.run.write(bytes, isLast);
		}
	}

	grantCredit(bytes: number): void {
		this.run?.grantCredit(bytes);
	}

	cancel(): boolean {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#owner.cancel(this);
		}

		return this.run === undefined;
	}

	/** Whoever shares the process with the owner learns all from `cancel`. */
	withdraw(): boolean {
		return false;
	}

	// Called by the run at the target.

	onHead(head: AnswerHead, body: Buffer, isWhole: boolean): void {
		this.#isUnframed = head.isUnframed;
		this.#answer = head.status < 500 ? 'answered' : (this.hasNestedFailure ? 'failed-below' : 'failed');
		if (isWhole) {
			this.#end(true, this.#answer);
		} else {
			this.#isStreamed = true;
		}

		this.#owner.onOutcome(this, head.status >= 500 && !this.hasNestedFailure);

		this.#sink?.onAnswer({...head, reached: this.#owner.listReachedServices(this.call), isFailedBelow: this.hasNestedFailure}, body, isWhole, this.#getLoadReport());
	}

	onChunk(bytes: Buffer, isLast: boolean): void {
		if (isLast) {
			this.#end(true, this.#answer);
		}

		this.#sink?.onChunk(bytes, isLast);
	}

	onNotRun(reason: RefusalReason): void {
		this.#end(false, reason === 'shed-by-target' ? 'turned-away' : 'lost');
		if (reason === 'shed-by-target') {
			this.#owner.onOutcome(this, true);
		}

		if (reason === 'unreachable') {
			this.#owner.onUnreachable(this);
		}

		if (reason === 'misdirected') {
			this.#owner.onMisdirected(this);
		}

		this.#sink?.onRefused(reason, this.#getLoadReport());
	}

	onFailed(reason: FailureReason): void {
		this.#end(false, reason === 'broken' || reason === 'garbled' ? 'failed' : 'lost');
		if (reason === 'broken') {
			this.#owner.onRunLost(this, settled => {
				this.#fail(settled);
			});
		} else {
			this.#fail(reason);
		}
	}

	onSignals(signals: TargetSignals): void {
		this.#owner.onSignals(this, signals);
	}

	onLoad(load: string): void {
		this.#owner.onLoad(this, load);
	}

	onInvalidSignals(error: DecodeError): void {
		this.#owner.onInvalidSignals(this, error);
	}

	onUnknownHeader(name: string): void {
		this.#owner.onUnknownHeader(this, name);
	}

	onBodyTaken(bytes: number): void {
		this.#sink?.onCredit(bytes);
	}

	#fail(reason: FailureReason): void {
		this.#owner.onRunFailed(this, reason);
		this.#sink?.onFailed(reason, this.#getLoadReport());
	}

	#end(isServed: boolean, outcome: RunOutcome): void {
		this.#isOver = true;
		if (isServed && this.#isUnframed) {
			this.#owner.onUnframedAnswer(this);
		}

		this.#owner.onRunEnded(this, isServed, outcome);
	}

	#getLoadReport(): LoadReport {
		return this.#owner.getLoadReport(this.call.template.route);
	}
}
