import {type HostRefusal, type LoadBalancer} from '../../mesh/index.js';
import {type FailureReason, type RefusalReason} from '../call.js';

/** Why a request ended without an answer from its target. */
export type EndReason = RefusalReason | FailureReason | 'no-target' | 'no-chance' | 'overload' | 'timeout' | 'client-gone' | 'quota';

/** What a host's refusal says of it: whether it was for lack of capacity, and whether its target has received the call. */
export function judgeRefusal(reason: RefusalReason): HostRefusal {
	return {
		isForLoad: reason === 'full' || reason === 'evicted' || reason === 'expired' || reason === 'shed-by-target',
		reachedTarget: reason === 'shed-by-target' || reason === 'misdirected',
	};
}

const UNREACHABLE_REASONS: ReadonlySet<RefusalReason> = new Set(['not-here', 'unreachable', 'misdirected']);

/** Has the load balancer avoid a host for what its refusal says. */
export function recordRefusal(loadBalancer: LoadBalancer, host: string, reason: RefusalReason, nowMs: number): void {
	if (reason === 'stopping') {
		loadBalancer.markDraining(host, nowMs);
	} else if (UNREACHABLE_REASONS.has(reason)) {
		loadBalancer.markUnreachable(host, nowMs);
	} else if (reason === 'shed-by-target') {
		loadBalancer.onOutcome(host, true, nowMs);
	}
}
