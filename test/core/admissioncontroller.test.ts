import {expect, it} from 'vitest';
import {ANNOUNCEMENT_LEASE_MS, AdmissionController} from '../../src/core/admissioncontroller.js';
import {type Call} from '../../src/core/frame.js';
import {type Answer} from '../../src/core/answer.js';
import {CoreContext} from '../../src/core/corecontext.js';
import {Ledger} from '../../src/core/ledger.js';

const call = (budgetMs: number): Call => ({
	service: 's', operation: 'write', className: 'high', level: 0, floor: 0, root: 'k', idempotent: false, budgetMs, tokens: 0, key: 'k', ballot: {attempt: 1, tie: 'a'}, keepMs: 1000, payload: {},
});

it('keeps a key marked as running when a second call with it arrives after its deadline', () => {
	const ledger = new Ledger(0, 10);
	const admission = new AdmissionController({
		coreContext: new CoreContext(1, 1), ledger, bounds: () => undefined, answer: () => undefined, onEnded: () => undefined,
	});
	admission.announce({
		service: 's', slots: 2, connections: 2, cold: false,
	});
	admission.admit({peer: 'p', callId: 1}, call(1000));
	admission.admit({peer: 'q', callId: 1}, call(0));
	expect(ledger.begin('k', {attempt: 2, tie: 'b'}, 2000).verdict).toBe('running');
});

it.each(['broken', 'withdrawn'] as const)('tells the caller of a run that was cancelled at its deadline so, and of one that he cancelled likewise: %s', kind => {
	const answers: Answer[] = [];
	const context = new CoreContext(1, 1);
	const admission = new AdmissionController({
		coreContext: context, ledger: new Ledger(0, 10), bounds: () => undefined, onEnded: () => undefined,
		answer(_origin, answer) {
			answers.push(answer);
		},
	});
	admission.announce({
		service: 's', slots: 2, connections: 2, cold: false,
	});
	for (const callId of [1, 2]) {
		admission.admit({peer: 'p', callId}, {
			...call(1000), idempotent: true, key: undefined, ballot: undefined,
		});
	}

	admission.cancel({peer: 'p', callId: 1});
	context.nowMs = 1100;
	admission.tick();
	for (const output of context.takeOutputs()) {
		if (output.type === 'cancel') {
			admission.onResult(output.id, {kind});
		}
	}

	expect(answers.map(({outcome, reason}) => [outcome, reason])).toEqual(['cancelled', 'deadline'].map(reason => [kind === 'broken' ? 'unknown' : 'not-run', reason]));
});

// Guards against a target that is dropped as its daemon was held up and couldn't hear it (LOST).
it('keeps a target that it couldn\'t hear during a pause, until its lease ends without one', () => {
	const context = new CoreContext(1, 1);
	const admission = new AdmissionController({
		coreContext: context, ledger: new Ledger(0, 10), bounds: () => undefined, answer: () => undefined, onEnded: () => undefined,
	});
	admission.announce({
		service: 's', slots: 2, connections: 2, cold: false,
	});
	const isLapsedAt = (nowMs: number, pausedMs: number) => {
		context.nowMs = nowMs;
		context.pausedMs = pausedMs;
		return admission.tick();
	};

	const resumedMs = 2 * ANNOUNCEMENT_LEASE_MS;
	expect([
		isLapsedAt(resumedMs, resumedMs - 1), isLapsedAt(resumedMs + ANNOUNCEMENT_LEASE_MS, 0), isLapsedAt(resumedMs + ANNOUNCEMENT_LEASE_MS + 1, 0),
	]).toEqual([false, false, true]);
});
