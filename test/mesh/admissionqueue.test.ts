import {describe, expect, it} from 'vitest';
import {RANK_COUNT, levelOf} from '../../src/core/index.js';
import {AdmissionQueue, type QueuedCall} from '../../src/mesh/index.js';

type Named = QueuedCall & {readonly name: string};
const call = (name: string, rank: number, more: Partial<QueuedCall> = {}): Named => ({
	name, priority: {level: levelOf(RANK_COUNT - 1 - rank, name, 0), floor: 0}, isNested: false, deadlineMs: 1000, serviceMs: 10, ...more,
});
const busyGate = () => {
	const gate = new AdmissionQueue<Named>(1);
	gate.admit(call('first', 0), 0);
	return gate;
};

const order = (gate: AdmissionQueue<Named>) => {
	const names: string[] = [];
	for (;;) {
		gate.release(10);
		const next = gate.dequeue(0);
		if (next === undefined) {
			return names;
		}

		names.push(next.call.name);
	}
};

describe('a target\'s gate', () => {
	it('runs up to its limit and lets the rest wait', () => {
		const gate = new AdmissionQueue<Named>(2);
		expect(['a', 'b', 'c'].map(name => gate.admit(call(name, 0), 0).verdict)).toEqual(['run', 'run', 'wait']);
	});

	it('serves higher ranks first, nested calls before new ones, then the oldest', () => {
		const gate = busyGate();
		for (const one of [call('low', 2), call('low-nested', 2, {isNested: true}), call('high', 0), call('high-later', 0)]) {
			gate.admit(one, 0);
		}

		expect(order(gate)).toEqual(['high', 'high-later', 'low-nested', 'low']);
	});

	it('refuses what would wait past its deadline', () => {
		const gate = busyGate();
		for (let number = 0; number < 12; number++) {
			gate.admit(call(`waits-${number}`, 0), 0);
		}

		expect(gate.admit(call('hasty', 0, {deadlineMs: 50}), 0).verdict).toBe('full');
		expect(gate.admit(call('patient', 0, {deadlineMs: 5000}), 0).verdict).toBe('wait');
	});

	it('makes room for a higher rank by the lowest that waits', () => {
		const gate = busyGate();
		for (let number = 0; number < 64; number++) {
			gate.admit(call(`low-${number}`, 2, {deadlineMs: 60_000}), 0);
		}

		const {verdict, evicted} = gate.admit(call('high', 0), 0);
		expect([verdict, evicted?.name]).toEqual(['wait', 'low-63']);
		expect(gate.admit(call('low-again', 2, {deadlineMs: 60_000}), 0).verdict).toBe('full');
	});

	it('gives up what can no longer end in time, and what is cancelled', () => {
		const gate = busyGate();
		const late = call('late', 0);
		const gone = call('gone', 0);
		gate.admit(late, 0);
		gate.admit(gone, 0);
		expect(gate.cancel(gone)).toBe(true);
		expect(gate.removeExpired(995).map(({name}) => name)).toEqual(['late']);
		expect(gate.queued).toBe(0);
	});
});
