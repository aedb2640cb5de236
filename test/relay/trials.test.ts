import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {Quarantine, Trials} from '../../src/core/index.js';
import {AdmissionQueue} from '../../src/mesh/index.js';
import {type Call, CallSink} from '../../src/relay/call.js';
import {type CallOwner, OwnedCall} from '../../src/relay/target/ownedcall.js';

const HOLD_MS = 30_000;
const DEADLINE_MS = 2000;
const SERVICE_MS = 50;

class Sink extends CallSink {
	override onAnswer(): void {
		throw new Error('no target answers here');
	}

	override onChunk(): void {
		throw new Error('no target answers here');
	}

	override onRefused(): void {
		throw new Error('no target answers here');
	}

	override onFailed(): void {
		throw new Error('no target answers here');
	}

	override onCredit(): void {
		throw new Error('no target answers here');
	}
}

function createCall(path: string): OwnedCall {
	const call: Call = {
		template: {
			route: 'x', rank: 1, repeatability: 'safe', method: 'GET', callerService: 'front', headers: [],
		},
		attemptId: path, path, instance: 'i-1', leftMs: DEADLINE_MS, objectiveLeftMs: DEADLINE_MS, priority: {level: 1, floor: 0}, isNested: false, body: Buffer.alloc(0), isRepeat: false, rateLimitPerS: undefined, hasMoreBody: false,
	};
	return new OwnedCall(undefined as unknown as CallOwner, call, new Sink(), {nowMs: 0, serviceMs: SERVICE_MS, deviationMs: 0});
}

/** Trials at a target, with two suspects. */
function createTrials({isLastTarget = false, mayStart = (): boolean => true} = {}) {
	const suspects = ['/a', '/b'].map(path => createCall(path));
	const quarantine = new Quarantine(HOLD_MS);
	for (const id of [1, 2]) {
		quarantine.recordCrash({
			id, service: 'back', start: `i-${id}@0`, ageMs: 0, requests: suspects.map(({fingerprint}) => fingerprint), chance: 1,
		}, 0);
	}

	const queue = new AdmissionQueue<OwnedCall>(4);
	const events: string[] = [];
	const record = (event: string) => (owned: OwnedCall) => {
		events.push(`${event} ${owned.call.path}`);
	};

	const trials = new Trials({
		quarantine,
		queue,
		start(owned) {
			if (!mayStart()) {
				queue.release(undefined);
			}

			record(mayStart() ? 'start' : 'not started')(owned);
			return mayStart();
		},
		admit: record('admit'), onBegun: () => undefined, isLastTarget: () => isLastTarget,
		refuse(owned, reason) {
			events.push(`${reason} ${owned.call.path}`);
		},
	});
	return {
		suspects, quarantine, queue, events, trials,
	};
}

describe('suspects at a target', () => {
	it('run one at a time, and the next once others had the target for as long as they waited', () => {
		const {suspects: [a, b], queue, events, trials} = createTrials();
		expect([trials.take(a, 0), trials.take(b, 0), trials.take(createCall('/sound'), 0)]).toEqual([true, true, false]);
		expect([events, queue.isPaused]).toEqual([['start /a'], true]);
		trials.onRunEnded(a, 60);
		queue.release(60);
		trials.advance(60);
		expect([events.length, queue.isPaused]).toEqual([1, false]);
		trials.advance(120);
		expect(events).toEqual(['start /a', 'start /b']);
	});

	it('keep no call waiting once the one that waited has left', () => {
		const {suspects: [a], queue, trials} = createTrials();
		queue.takeSlot(0);
		trials.take(a, 0);
		expect(queue.isPaused).toBe(true);
		trials.cancel(a);
		expect(queue.isPaused).toBe(false);
	});

	it('are admitted or refused by what is learned while they wait', () => {
		const {suspects: [a, b], quarantine, queue, events, trials} = createTrials();
		queue.takeSlot(0);
		trials.take(a, 0);
		trials.take(b, 0);
		quarantine.recordSurvival({request: a.fingerprint, crashes: [1, 2]}, 10);
		quarantine.recordHold({
			request: b.fingerprint, generation: 1, isHeld: true, strikes: 1, leftMs: HOLD_MS, subject: {
				route: 'x', method: 'GET', path: '/b', caller: 'front', attemptId: 'b',
			},
		}, 10);
		trials.advance(20);
		expect([events, queue.isPaused]).toEqual([['admit /a', 'quarantined /b'], false]);
	});

	it('wait at the last target for another one, until they must begin to be answered in time', () => {
		const {suspects: [a], queue, events, trials} = createTrials({isLastTarget: true});
		trials.take(a, 0);
		trials.advance(DEADLINE_MS - 600);
		expect([events, queue.isPaused]).toEqual([[], false]);
		trials.advance(DEADLINE_MS - 500);
		expect(events).toEqual(['start /a']);
	});

	it('are refused as expired once their time is over', () => {
		const {suspects: [a], queue, events, trials} = createTrials();
		queue.takeSlot(0);
		trials.take(a, 0);
		trials.advance(DEADLINE_MS);
		expect(events).toEqual(['expired /a']);
	});

	it('have others wait a moment longer after their caller has left, as the target may crash of what it had begun', () => {
		const {suspects: [a], queue, trials} = createTrials();
		trials.take(a, 0);
		trials.onRunAborted(a, 20);
		trials.onRunEnded(a, 20);
		queue.release(20);
		trials.advance(60);
		expect(queue.isPaused).toBe(true);
		trials.advance(120);
		expect(queue.isPaused).toBe(false);
	});

	// Guards against a trial that never ends as its target was replaced: later suspects were refused as if the queue were full.
	it('let the next one run if one can\'t start', () => {
		let isThere = false;
		const {suspects: [a, b], queue, events, trials} = createTrials({mayStart: () => isThere});
		trials.take(a, 0);
		expect([events, queue.isPaused, trials.isActive]).toEqual([['not started /a'], false, false]);
		isThere = true;
		trials.take(b, 10);
		trials.advance(20);
		expect(events).toEqual(['not started /a', 'start /b']);
	});
});
