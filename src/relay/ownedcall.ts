import {type Buffer} from 'node:buffer';
import {type QueuedCall, type LoadReport, type Priority} from '../mesh/index.js';
import {
	type AnswerHead, type Call, type CallHandle, type CallSink, type FailureReason, type RefusalReason,
} from './call.js';
import {RunSink, type Run, type TargetClient} from './targetclient.js';

/** What a call tells its owner of. */
export abstract class CallOwner {
	abstract getLoadReport(route: string): LoadReport;
	abstract listReachedServices(call: Call): string[];
	/** Nobody waits for this call any longer. */
	abstract cancel(owned: OwnedCall): void;
	/** @param served whether the target ran it to an answer of its own */
	abstract onRunEnded(owned: OwnedCall, served: boolean): void;
	abstract onRunFailed(owned: OwnedCall, reason: FailureReason): void;
	abstract onUnreachable(owned: OwnedCall): void;
	abstract onMisdirected(owned: OwnedCall): void;
}

/** One call at its owner, from its arrival to its end. */
export class OwnedCall extends RunSink implements QueuedCall, CallHandle {
	readonly call: Call;
	readonly priority: Priority;
	readonly isNested: boolean;
	readonly deadlineMs: number;
	readonly serviceMs: number;
	startedMs = 0;
	hasNestedFailure = false;
	run: Run | undefined;
	/** When its sender left while its run was let end, in ms. */
	abandonedMs: number | undefined;
	#sink: CallSink | undefined;
	readonly #owner: CallOwner;
	readonly #arrivedMs: number;
	#early: Array<{bytes: Buffer; isLast: boolean}> = [];
	#isOver = false;

	constructor(owner: CallOwner, call: Call, sink: CallSink, arrival: {readonly nowMs: number; readonly serviceMs: number}) {
		super();
		const {nowMs, serviceMs} = arrival;
		this.#owner = owner;
		this.#arrivedMs = nowMs;
		this.call = call;
		this.#sink = sink;
		this.priority = call.priority;
		this.isNested = call.isNested;
		this.deadlineMs = nowMs + call.leftMs;
		this.serviceMs = serviceMs;
	}

	/** Who waits for it, if anybody still does. */
	get sink(): CallSink | undefined {
		return this.#sink;
	}

	/** Nobody waits for it any longer, but its run may end, and leave its connection whole. */
	abandon(nowMs: number): void {
		this.abandonedMs = nowMs;
		this.#sink = undefined;
	}

	start(upstream: TargetClient, nowMs: number): void {
		this.startedMs = nowMs;
		const waitedMs = nowMs - this.#arrivedMs;
		this.run = upstream.run({...this.call, leftMs: this.call.leftMs - waitedMs}, this);
		for (const {bytes, isLast} of this.#early) {
			this.run.write(bytes, isLast);
		}

		this.#early = [];
	}

	/** How long it has waited here, in ms. */
	readonly waitedMs = (nowMs: number): number => nowMs - this.#arrivedMs;

	refuse(reason: RefusalReason, report: LoadReport): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#sink?.onRefused(reason, report);
		}
	}

	// From the sender of the call.

	write(bytes: Buffer, isLast: boolean): void {
		if (this.run === undefined) {
			this.#early.push({bytes, isLast});
		} else {
			this.run.write(bytes, isLast);
		}
	}

	grantCredit(bytes: number): void {
		this.run?.grantCredit(bytes);
	}

	cancel(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#owner.cancel(this);
		}
	}

	// From the run at the target.

	onHead(head: AnswerHead, body: Buffer, isWhole: boolean): void {
		if (isWhole) {
			this.#end(true);
		}

		this.#sink?.onAnswer({...head, reached: this.#owner.listReachedServices(this.call), isFailedBelow: this.hasNestedFailure}, body, isWhole, this.#report());
	}

	onChunk(bytes: Buffer, isLast: boolean): void {
		if (isLast) {
			this.#end(true);
		}

		this.#sink?.onChunk(bytes, isLast);
	}

	onNotRun(reason: RefusalReason): void {
		this.#end(false);
		if (reason === 'unreachable') {
			this.#owner.onUnreachable(this);
		} else if (reason === 'misdirected') {
			this.#owner.onMisdirected(this);
		}

		this.#sink?.onRefused(reason, this.#report());
	}

	onFailed(reason: FailureReason): void {
		this.#end(false);
		this.#owner.onRunFailed(this, reason);
		this.#sink?.onFailed(reason, this.#report());
	}

	onBodyTaken(bytes: number): void {
		this.#sink?.onCredit(bytes);
	}

	#end(served: boolean): void {
		this.#isOver = true;
		this.#owner.onRunEnded(this, served);
	}

	#report(): LoadReport {
		return this.#owner.getLoadReport(this.call.template.route);
	}
}
