import {type Operation} from './catalog.js';
import {type ReceivedCall} from './receivedcall.js';
import {type Call} from './frame.js';
import {type FencingToken} from './ledger.js';
import {type Payload} from './answer.js';
import {type RequestId} from './message.js';
import {type SiteSpec} from './spec.js';

/** What is taken off the budget so that an answer from below comes in time, in ms. */
export const ANSWER_MARGIN_MS = 5;
const MARGIN_SHARE = 0.05;

/** A request that this daemon took and has not answered yet. */
export type PendingRequest = {
	readonly id: RequestId;
	/** The running work on whose behalf the target sent it. */
	readonly parent?: ReceivedCall;
	readonly operation: Operation;
	readonly root: string;
	readonly level: number;
	readonly floor: number;
	readonly deadlineMs: number;
	readonly payload: Payload;
	readonly key?: string;
	/** Which attempt at its key this is, from 1. */
	readonly attempt: number;
	ballot?: FencingToken;
	/**
	 * Whether an earlier attempt at the key may have run. As long as it may, no
	 * answer to this request says that nothing was run.
	 */
	mayHaveRun: boolean;
	/** Retries that this request might cause at its start. */
	readonly initialTokens: number;
	/** Retries that this request may still cause. */
	tokens: number;
	/** The tokens that went down with the call under way. */
	forwardedTokens: number;
	/** The upstreams already tried. */
	readonly tried: string[];
	/** The call under way. */
	callId: number;
	upstream?: string;
	/** Whether the call has left this daemon. */
	sent: boolean;
	done: boolean;
};

/** The call that a request makes of an upstream, with its share of the tokens. */
export function createCall(pending: PendingRequest, tokens: number, site: SiteSpec, nowMs: number): Call {
	const {operation, key, ballot} = pending;
	const leftMs = pending.deadlineMs - nowMs;
	return {
		service: operation.service,
		operation: operation.name,
		className: operation.className,
		level: pending.level,
		floor: pending.floor,
		root: pending.root,
		idempotent: operation.idempotent,
		budgetMs: leftMs - Math.min(ANSWER_MARGIN_MS, leftMs * MARGIN_SHARE),
		tokens,
		key,
		ballot,
		keepMs: key === undefined ? undefined : site.resendWindowMs + (2 * site.clockSkewMs),
		payload: pending.payload,
	};
}
