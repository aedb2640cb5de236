import {type Buffer} from 'node:buffer';
import {type Call, CallHandle, type CallSink} from '../call.js';
import {FrameChannel, FrameTag} from './frame.js';

/** The link that carries a call. */
export abstract class CallCarrier extends FrameChannel {
	/** Removes a call that its sender has cancelled, and tells the other side if the call was sent. */
	abstract cancelCall(call: LinkCall): void;
	/** Cancels a call at the other side, whose word of it is still awaited. @returns whether the call is in flight */
	abstract withdrawCall(call: LinkCall): boolean;
}

/** One call in flight on a link. */
export class LinkCall extends CallHandle {
	readonly id: number;
	readonly sink: CallSink;
	readonly bodyBytes: number;
	isSent = false;
	/** Whether the head of its answer has arrived. */
	isAnswered = false;
	readonly #link: CallCarrier;
	readonly #call: Call;
	readonly #createdMs: number;
	#unsentChunks: Array<{bytes: Buffer; isLast: boolean}> = [];

	constructor(link: CallCarrier, id: number, call: Call, sink: CallSink, nowMs: number) {
		super();
		this.#link = link;
		this.id = id;
		this.#call = call;
		this.bodyBytes = call.body.length;
		this.sink = sink;
		this.#createdMs = nowMs;
	}

	/** Whether another host may run it although it may have run here. */
	get mayBeSentAgain(): boolean {
		return this.#call.template.repeatability === 'safe' && !this.#call.hasMoreBody && !this.isAnswered;
	}

	/** Returns the call with its remaining times reduced by the time that it waited to be sent. */
	withRemainingTime(nowMs: number): Call {
		const waitedMs = nowMs - this.#createdMs;
		const {leftMs, objectiveLeftMs} = this.#call;
		return waitedMs < 1 ? this.#call : {...this.#call, leftMs: leftMs - waitedMs, objectiveLeftMs: objectiveLeftMs && Math.max(0, objectiveLeftMs - waitedMs)};
	}

	flush(): void {
		for (const {bytes, isLast} of this.#unsentChunks) {
			this.write(bytes, isLast);
		}

		this.#unsentChunks = [];
	}

	override write(bytes: Buffer, isLast: boolean): void {
		if (this.isSent) {
			this.#link.send([FrameTag.chunk, this.id, bytes.length > 0 ? bytes : null, isLast]);
		} else {
			this.#unsentChunks.push({bytes, isLast});
		}
	}

	override grantCredit(bytes: number): void {
		this.#link.send([FrameTag.credit, this.id, bytes]);
	}

	override cancel(): boolean {
		this.#link.cancelCall(this);
		return !this.isSent;
	}

	override withdraw(): boolean {
		return this.isSent && this.#link.withdrawCall(this);
	}
}
