import {
	type Answer, REFUSED_RETRY_AFTER_MS, type Reason, createRefusal, createUnknownAnswer,
} from './answer.js';
import {type Call} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Ledger} from './ledger.js';
import {type TargetResult} from './message.js';
import {type QueueEntry} from './priorityqueue.js';
import {type TrialCall} from './quarantine/index.js';
import {type QuarantineParts} from './targetguard.js';

/** Where the answer to a call goes. */
export type Origin = {
	/** The peer that sent the call, or undefined for this daemon itself. */
	readonly peer?: string;
	readonly callId: number;
};

/** Why a run is cancelled: its caller no longer waits, or its time is over. */
export type CancelReason = 'cancelled' | 'deadline';

/** A call that this daemon has received for its target, and that is queued, running or about to be decided on. */
export type ReceivedCall = QueueEntry & TrialCall & {
	readonly id: number;
	readonly origin: Origin;
	readonly call: Call;
	/** When it is refused if it is still queued, in ms. */
	readonly expiresMs: number;
	/** When the run began, in ms; 0 while the call is queued. */
	startedMs: number;
	/** Retry tokens left: the retries that its child requests may still cause. */
	tokens: number;
	/** Whether this call is the one for which the ledger marks the key as running. */
	holdsKey: boolean;
	/** Whether it has made a child call; if so, the target's claim that it did not run is not believed. */
	hasMadeChildCall: boolean;
	/** Whether a child call ended without a complete answer. */
	hasFailedChild: boolean;
	/** Whether a non-idempotent child call may have run. */
	childMayHaveRun: boolean;
	/** Why its run was cancelled; undefined while nobody has cancelled it. */
	cancelReason: CancelReason | undefined;
	/** Whether it may have waited in a socket buffer while this process was paused. */
	readonly mayHaveWaitedInPause: boolean;
};

/** Receives the answer to each call, exactly one, with the retry tokens that are left. */
export type AnswerSink = (origin: Origin, answer: Answer, tokens: number) => void;

/** The parts of a daemon that admission uses. */
export type AdmissionParts = {
	readonly coreContext: CoreContext;
	readonly ledger: Ledger;
	/** The queue bounds of the target's service, if configured. */
	readonly bounds: () => QueueBounds | undefined;
	readonly answer: AnswerSink;
	/** Called when a call has ended, so that its child requests can be cancelled. */
	readonly onEnded: (received: ReceivedCall) => void;
	/** Without it, requests that crash the target run like any others. */
	readonly quarantine?: QuarantineParts | undefined;
};

/** How long calls should and may wait in the queue of a service, in ms. */
export type QueueBounds = {readonly queueTargetMs: number; readonly queueLimitMs: number};

/** What a call arrives with, and when. */
type Arrival = {
	readonly nowMs: number;
	readonly queueLimitMs: number;
	readonly serviceMs: number;
	readonly mayHaveWaitedInPause: boolean;
	/** Called at most once. */
	readonly fingerprintOf: () => string;
};

export function createReceivedCall({id, origin, call}: Pick<ReceivedCall, 'id' | 'origin' | 'call'>, {nowMs, queueLimitMs, fingerprintOf, ...arrival}: Arrival): ReceivedCall {
	const deadlineMs = nowMs + call.budgetMs;
	let fingerprint: string | undefined;
	return {
		...arrival,
		id,
		origin,
		call,
		get fingerprint() {
			fingerprint ??= fingerprintOf();
			return fingerprint;
		},
		level: call.level,
		deadlineMs,
		expiresMs: Math.min(deadlineMs, nowMs + queueLimitMs),
		startedMs: 0,
		tokens: call.tokens,
		holdsKey: false,
		hasMadeChildCall: false,
		hasFailedChild: false,
		childMayHaveRun: false,
		cancelReason: undefined,
	};
}

/** Returns the reason to refuse a call whose time has run out. */
export function expiryReasonOf({mayHaveWaitedInPause}: ReceivedCall): Reason {
	return mayHaveWaitedInPause ? 'paused' : 'expired';
}

/** Converts the result of a run at the target into the answer to its call. */
export function answerFromResult(received: ReceivedCall, result: TargetResult): Answer {
	if (result.kind === 'unsent') {
		return createRefusal('target-unreachable', REFUSED_RETRY_AFTER_MS, true);
	}

	if (result.kind === 'withdrawn') {
		return createRefusal(received.cancelReason ?? 'cancelled', REFUSED_RETRY_AFTER_MS);
	}

	// Each failure is retried by one hop only: the one next to where it arose.
	const isClean = received.call.idempotent && !received.childMayHaveRun;
	const retryable = isClean && !received.hasFailedChild && received.cancelReason === undefined;
	if (result.kind === 'broken') {
		return {...createUnknownAnswer(received.cancelReason ?? 'target-failed'), retryable};
	}

	if (result.claimsNotRun && !received.hasMadeChildCall) {
		return createRefusal('target-refused', REFUSED_RETRY_AFTER_MS, true);
	}

	if (!isFailure(result.status)) {
		return {outcome: 'complete', payload: result.payload};
	}

	// A failed idempotent run has no effect, so the answer says that nothing was run.
	const reason = received.hasFailedChild ? 'child-failed' : 'target-failed';
	return isClean ? createRefusal(reason, REFUSED_RETRY_AFTER_MS, retryable) : createUnknownAnswer(reason);
}

function isFailure(status: number): boolean {
	return status === 429 || status === 502 || status === 503 || status === 504;
}
