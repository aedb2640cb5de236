import {expect, it} from 'vitest';
import {AdmissionController} from '../../src/core/admissioncontroller.js';
import {type Call} from '../../src/core/frame.js';
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
