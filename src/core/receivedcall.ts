import {
	type Answer, REFUSED_RETRY_AFTER_MS, type Reason, createRefusal, createUnknownAnswer,
} from './answer.js';
import {type Call} from './frame.js';
import {type CoreContext} from './corecontext.js';
import {type Ledger} from './ledger.js';
import {type TargetResult} from './message.js';
import {type QueueEntry} from './priorityqueue.js';

/** Who gets the answer of a piece of work. */
export type Origin = {
	/** The peer that called, or undefined for this daemon itself. */
	readonly peer?: string;
	readonly callId: number;
};

/** A call that this daemon's target runs or will run. */
export type ReceivedCall = QueueEntry & {
	readonly id: number;
	readonly origin: Origin;
	readonly call: Call;
	readonly deadlineMs: number;
	/** How long it may stay queued. */
	readonly expiresMs: number;
	startedMs: number;
	/** Retries that its child calls may still cause. */
	tokens: number;
	/** Whether its key counts as running on its account. */
	holdsKey: boolean;
	/** Whether it has made a child call; a target that has can't say that it didn't run. */
	hasMadeChildCall: boolean;
	/** Whether a child call ended without a whole answer. */
	hasFailedChild: boolean;
	/** Whether a non-idempotent child call may have run. */
	childMayHaveRun: boolean;
	cancelled: boolean;
	/** Whether it may have waited in a socket while this process was paused. */
	readonly mayHaveWaitedInPause: boolean;
};

/** Gets each call's one answer, with the retries that are left. */
export type AnswerSink = (origin: Origin, answer: Answer, tokens: number) => void;

/** What the admission works with. */
export type AdmissionParts = {
	readonly kernel: CoreContext;
	readonly ledger: Ledger;
	/** The queue bounds of the target's service, if configured. */
	readonly bounds: () => QueueBounds | undefined;
	readonly answer: AnswerSink;
	/** Told when work is over, so that its child calls can be cancelled. */
	readonly onEnded: (work: ReceivedCall) => void;
};

/** How long requests may wait at this service, in ms. */
export type QueueBounds = {readonly queueTargetMs: number; readonly queueLimitMs: number};

/** Why work whose time is over is refused. */
export function expiryReasonOf({mayHaveWaitedInPause: wasPaused}: ReceivedCall): Reason {
	return wasPaused ? 'paused' : 'expired';
}

/** What a target's result means for the call that it ran. */
export function answerFromResult(work: ReceivedCall, result: TargetResult): Answer {
	if (result.kind === 'unsent') {
		return createRefusal('target-unreachable', REFUSED_RETRY_AFTER_MS, true);
	}

	// One failure is retried by one hop only: the one next to where it arose.
	const isClean = work.call.idempotent && !work.childMayHaveRun;
	const retryable = isClean && !work.hasFailedChild && !work.cancelled;
	if (result.kind === 'broken') {
		return {...createUnknownAnswer(work.cancelled ? 'cancelled' : 'target-failed'), retryable};
	}

	if (result.claimsNotRun && !work.hasMadeChildCall) {
		return createRefusal('target-refused', REFUSED_RETRY_AFTER_MS, true);
	}

	if (!isFailure(result.status)) {
		return {outcome: 'complete', payload: result.payload};
	}

	// A failed idempotent run has no effect, so nothing stands in the way of saying so.
	const reason = work.hasFailedChild ? 'child-failed' : 'target-failed';
	return isClean ? createRefusal(reason, REFUSED_RETRY_AFTER_MS, retryable) : createUnknownAnswer(reason);
}

function isFailure(status: number): boolean {
	return status === 429 || status === 502 || status === 503 || status === 504;
}
