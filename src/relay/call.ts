import {type Buffer} from 'node:buffer';
import {type LoadReport, type Repeatability, type Priority} from '../mesh/index.js';

/** What the calls of one route, method and client have in common; sent once over a link. */
export type CallTemplate = {
	readonly route: string;
	readonly rank: number;
	readonly repeatability: Repeatability;
	readonly method: string;
	/** The service that runs on the host where the request originated. */
	readonly callerService: string;
	/** Names and values in turn, without those that differ from call to call. */
	readonly headers: readonly string[];
};

/** A request on its way to one target. */
export type Call = {
	readonly template: CallTemplate;
	readonly attemptId: string;
	/** The request's target, as the client sent it. */
	readonly path: string;
	/** The instance that is meant; no other may run it. */
	readonly instance: string;
	/** How long its client, or its route, still waits, in ms. */
	readonly leftMs: number;
	/** The place of the root that it is made for. */
	readonly priority: Priority;
	/** Whether a run in progress waits for it. */
	readonly isNested: boolean;
	readonly body: Buffer;
	/** Whether it, or the run that waits for it, was sent before. */
	readonly isRepeat: boolean;
	/** Whether more of the body follows in chunks. */
	readonly hasMoreBody: boolean;
};

/** The first part of a target's answer. */
export type AnswerHead = {
	readonly status: number;
	/** Names and values in turn, without those that differ from answer to answer. */
	readonly headers: readonly string[];
	readonly signature: string | undefined;
	/** The body's length in bytes, when the target told it. */
	readonly lengthBytes: number | undefined;
	/** Whether it has no length and ends with its connection, so that nobody can tell if it is whole. */
	readonly isUnframed: boolean;
	/** The services that requests of this route reach. */
	readonly reached: readonly string[];
	/** Whether a call that the run made failed: the target is not to blame, and another would fare no better. */
	readonly isFailedBelow: boolean;
};

/** Why a call was not run: nothing of it reached a target that took it. */
export type RefusalReason
	= | 'full'
		| 'expired'
		| 'evicted'
		| 'not-here'
		| 'stopping'
		| 'shed-by-target'
		| 'misdirected'
		| 'unreachable'
		| 'cancelled';

/** Why a call failed that may have run. */
export type FailureReason = 'broken' | 'garbled' | 'deadline' | 'unframed' | 'link-lost' | 'cancelled';

/** Takes what becomes of one call: one answer, refusal or failure. */
export abstract class CallSink {
	/** @param isWhole whether `body` is all of it; otherwise chunks follow */
	abstract onAnswer(head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void;
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	/** The call has not run and never will. */
	abstract onRefused(reason: RefusalReason, report: LoadReport | undefined): void;
	/** The call may have run. After an answer's head it means that the rest won't come. */
	abstract onFailed(reason: FailureReason, report: LoadReport | undefined): void;
	/** The owner can take more of the request's body. */
	abstract onCredit(bytes: number): void;
}

/** A call that was handed over, as its sender holds it. */
export abstract class CallHandle {
	abstract write(bytes: Buffer, isLast: boolean): void;
	/** The sender can take more of the answer's body. */
	abstract grantCredit(bytes: number): void;
	/** Nobody waits for it any longer; nothing more is told of it. */
	abstract cancel(): void;
}

/** A body up to this size travels in one piece, in bytes; larger ones are streamed. */
export const MAX_INLINE_BODY_BYTES = 65_536;
/** How much of a streamed body may be under way between two daemons, in bytes. */
export const BODY_WINDOW_BYTES = 262_144;
