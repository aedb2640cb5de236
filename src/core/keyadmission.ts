import {
	type Answer, REFUSED_RETRY_AFTER_MS, createRefusal, createUnknownAnswer,
} from './answer.js';
import {type Call} from './frame.js';
import {type Ledger} from './ledger.js';

/** What happens to a call with an idempotency key: it runs, waits for the running call with the same key, or is answered. */
export type KeyDecision
	= | {readonly kind: 'run'; readonly counter?: undefined}
		| {readonly kind: 'wait'; readonly counter: 'joined'}
		| {readonly kind: 'answer'; readonly answer: Answer; readonly counter?: 'replayed'};

/** Asks the ledger whether a call may run its key. On `run` the ledger marks the key as running. */
export function admitKey(ledger: Ledger, call: Call, key: string, nowMs: number): KeyDecision {
	const decision = ledger.begin(key, call.ballot ?? {attempt: 1, tie: ''}, nowMs + (call.keepMs ?? 0));
	switch (decision.verdict) {
		case 'run': {
			return {kind: 'run'};
		}

		case 'running': {
			return {kind: 'wait', counter: 'joined'};
		}

		case 'done': {
			return {kind: 'answer', answer: decision.answer, counter: 'replayed'};
		}

		case 'superseded': {
			return {kind: 'answer', answer: createUnknownAnswer('superseded')};
		}

		case 'full': {
			return {kind: 'answer', answer: createRefusal('ledger-full', REFUSED_RETRY_AFTER_MS)};
		}
	}
}
