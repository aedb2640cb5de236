import {type Buffer} from 'node:buffer';
import {
	type LoadReport, type Repeatability, type Priority, type TargetSignals,
} from '../mesh/index.js';

/** The fields that calls of the same route, method and client share; sent once over each link. */
export type CallTemplate = {
	readonly route: string;
	readonly rank: number;
	readonly repeatability: Repeatability;
	readonly method: string;
	/** The service that runs on the host where the request originated. */
	readonly callerService: string;
	/** Names and values alternate; headers that differ from call to call are left out. */
	readonly headers: readonly string[];
};

/** A request addressed to one target instance. */
export type Call = {
	readonly template: CallTemplate;
	readonly attemptId: string;
	/** The request target (path and query) as the client sent it. */
	readonly path: string;
	/** The id of the target instance that the call is for; no other instance may run it. */
	readonly instance: string;
	/** The time left until the deadline of the client or the route, whichever is earlier, in ms. */
	readonly leftMs: number;
	/** The time left until the objective of the root request ends, in ms; 0 if it has ended, undefined if an older daemon doesn't tell. */
	readonly objectiveLeftMs: number | undefined;
	/** The priority of the root request that the call is made for. */
	readonly priority: Priority;
	/** Whether a call that is running at a target waits for this one. */
	readonly isNested: boolean;
	/** The organisation that the root request belongs to; absent if it belongs to none. */
	readonly organisation?: string;
	readonly body: Buffer;
	/** Whether the call, or the running call that waits for it, is a retry. */
	readonly isRepeat: boolean;
	/** The rate limit that the target is known to have named, in requests per second: its daemon may have restarted since. */
	readonly rateLimitPerS: number | undefined;
	/** Whether more of the body follows in chunks after `body`. */
	readonly hasMoreBody: boolean;
};

/** The status, headers and metadata of a target's answer. */
export type AnswerHead = {
	readonly status: number;
	/** Names and values alternate; headers that differ from answer to answer are left out. */
	readonly headers: readonly string[];
	readonly signature: string | undefined;
	/** The length of the body in bytes, if the target sent a Content-Length. */
	readonly lengthBytes: number | undefined;
	/** Whether only the end of the connection marks the end of the body, so that a truncated body can't be detected. */
	readonly isUnframed: boolean;
	/** The services that requests of this route reach, directly or through nested calls. */
	readonly reached: readonly string[];
	/** Whether a nested call of the run failed: the target isn't at fault, and another target would fail as well. */
	readonly isFailedBelow: boolean;
	/** What the target says of itself; undefined if the answer doesn't tell. */
	readonly signals: TargetSignals | undefined;
};

/** Why a call was not run: no target accepted any part of it. */
export type RefusalReason
	= | 'full'
		| 'expired'
		| 'evicted'
		| 'not-here'
		| 'stopping'
		| 'shed-by-target'
		| 'misdirected'
		| 'unreachable'
		| 'malformed'
		| 'quarantined'
		| 'cancelled';

/** Why a call that may have run failed. */
export type FailureReason = 'broken' | 'crashed' | 'garbled' | 'deadline' | 'unframed' | 'link-lost' | 'cancelled';

/** Receives the outcome of one call: one answer, refusal or failure. */
export abstract class CallSink {
	/** @param isWhole whether `body` is complete; otherwise chunks follow */
	abstract onAnswer(head: AnswerHead, body: Buffer, isWhole: boolean, report: LoadReport): void;
	abstract onChunk(bytes: Buffer, isLast: boolean): void;
	/** Called when the call has not run and never will. */
	abstract onRefused(reason: RefusalReason, report: LoadReport | undefined): void;
	/** Called when the call failed but may have run. After the head of an answer it means that the rest of the body won't arrive. */
	abstract onFailed(reason: FailureReason, report: LoadReport | undefined): void;
	/** Called when the owner can accept this many more bytes of the request body. */
	abstract onCredit(bytes: number): void;
}

/** The sender's control over a call that it has submitted. */
export abstract class CallHandle {
	abstract write(bytes: Buffer, isLast: boolean): void;
	/** Adds flow-control credit: the sender can accept this many more bytes of the answer body. */
	abstract grantCredit(bytes: number): void;
	/**
	 * Cancels the call, because nobody waits for it any longer; no further event is reported for it.
	 * @returns whether it is certain that the call hasn't run and never will
	 */
	abstract cancel(): boolean;
	/**
	 * Takes the call back, as its time is over: it is refused if it hasn't run, and otherwise goes on until it is cancelled.
	 * @returns whether its owner may still refuse it
	 */
	abstract withdraw(): boolean;
}

/** The largest body that is sent inline with its call or answer, in bytes; larger ones are streamed. */
export const MAX_INLINE_BODY_BYTES = 65_536;
/** The flow-control window of a streamed body: the most unacknowledged bytes in transit between two daemons. */
export const BODY_WINDOW_BYTES = 262_144;
