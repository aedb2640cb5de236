import {type Operation} from './catalog.js';
import {type ReceivedCall} from './receivedcall.js';
import {type Call} from './frame.js';
import {type FencingToken} from './ledger.js';
import {type Answer, type Payload} from './answer.js';
import {type RequestId} from './message.js';
import {type SiteSpec} from './spec.js';

/** Time deducted from a call's time budget so that its answer arrives before the deadline of the request, in ms. */
export const ANSWER_MARGIN_MS = 5;
const ANSWER_MARGIN_SHARE = 0.05;

/** A request that this daemon has accepted and not answered yet. */
export type PendingRequest = {
	readonly id: RequestId;
	/** The running call for which the target sent this request; undefined for a root request. */
	readonly parent?: ReceivedCall;
	readonly operation: Operation;
	/** Identifies the root request; all calls made for it share this text. */
	readonly root: string;
	readonly level: number;
	readonly floor: number;
	readonly deadlineMs: number;
	readonly payload: Payload;
	readonly key?: string;
	/** The number of this attempt at the key, from 1. */
	readonly attempt: number;
	ballot?: FencingToken;
	/**
	 * Whether an earlier attempt at the key may have run. While this is true, no
	 * answer to this request says that nothing was run.
	 */
	mayHaveRun: boolean;
	/** Retry tokens that this request began with. */
	readonly initialTokens: number;
	/** Retry tokens left: the retries that this request may still cause. */
	tokens: number;
	/** Retry tokens that the current call carries to the upstream. */
	forwardedTokens: number;
	/** The ids of the upstreams already tried. */
	readonly tried: string[];
	/** The id of the current call, or of the last one; 0 before the first. */
	callId: number;
	upstream?: string;
	/** Whether the current call has been sent, or handed to admission on this host. */
	sent: boolean;
	done: boolean;
};

/** Creates the call that a request makes to an upstream; the call carries `tokens` of its retry tokens. */
export function createCall(pending: PendingRequest, tokens: number, site: SiteSpec, nowMs: number): Call {
	const {operation, key, ballot} = pending;
	const remainingMs = pending.deadlineMs - nowMs;
	return {
		service: operation.service,
		operation: operation.name,
		className: operation.className,
		level: pending.level,
		floor: pending.floor,
		root: pending.root,
		idempotent: operation.idempotent,
		budgetMs: remainingMs - Math.min(ANSWER_MARGIN_MS, remainingMs * ANSWER_MARGIN_SHARE),
		tokens,
		key,
		ballot,
		keepMs: key === undefined ? undefined : site.resendWindowMs + (2 * site.clockSkewMs),
		payload: pending.payload,
	};
}

/** Corrects the claim that a request hasn't run, if an earlier attempt at its key may have. */
export function correctOutcome(pending: PendingRequest, answer: Answer): Answer {
	return answer.outcome === 'not-run' && pending.mayHaveRun ? {...answer, outcome: 'unknown'} : answer;
}
