import {
	type Answer, REFUSED_RETRY_AFTER_MS, createRefusal, createUnknownAnswer,
} from './answer.js';
import {type Call} from './frame.js';
import {type Ledger} from './ledger.js';

/** What becomes of a keyed call: it runs, joins the running one, or has its answer. */
export type KeyDecision
	= | {readonly kind: 'run'; readonly counter?: undefined}
		| {readonly kind: 'wait'; readonly counter: 'joined'}
		| {readonly kind: 'answer'; readonly answer: Answer; readonly counter?: 'replayed'};

/** Asks the ledger whether a call may run its key; on `run` the key counts as running. */
export function admitKey(ledger: Ledger, call: Call, key: string, nowMs: number): KeyDecision {
	const admission = ledger.begin(key, call.ballot ?? {attempt: 1, tie: ''}, nowMs + (call.keepMs ?? 0));
	switch (admission.verdict) {
		case 'run': {
			return {kind: 'run'};
		}

		case 'running': {
			return {kind: 'wait', counter: 'joined'};
		}

		case 'done': {
			return {kind: 'answer', answer: admission.answer, counter: 'replayed'};
		}

		case 'superseded': {
			return {kind: 'answer', answer: createUnknownAnswer('superseded')};
		}

		case 'full': {
			return {kind: 'answer', answer: createRefusal('ledger-full', REFUSED_RETRY_AFTER_MS)};
		}
	}
}
