import {describe, expect, it} from 'vitest';
import {type HostEntry, TargetSignalTable} from '../../src/mesh/index.js';

const DRAIN_MS = 1000;
const LEAVING = {rateLimitPerS: undefined, isLeaving: true};
const entry = (id: string, bornMs?: number): HostEntry => ({
	host: 'h', failureDomain: 'a', address: '1:1', target: {
		id, ...(bornMs !== undefined && {bornMs}), service: 's', slots: 4, state: 'ready',
	},
});
const mayReceive = (table: TargetSignalTable, one: HostEntry, nowMs: number) => table.withoutLeft([one], nowMs).length > 0;

describe('TargetSignalTable', () => {
	it('leaves out a target from the end of the drain time on, also when an answer from before arrives late', () => {
		const table = new TargetSignalTable(DRAIN_MS);
		table.record(entry('i', 5), LEAVING, 100);
		table.record(entry('i', 5), {rateLimitPerS: 3, isLeaving: false}, 200);
		expect([1099, 1100].map(nowMs => mayReceive(table, entry('i', 5), nowMs))).toEqual([true, false]);
	});

	it('still does so while a restarted daemon knows only the id of its target', () => {
		const table = new TargetSignalTable(DRAIN_MS);
		table.record(entry('i', 5), LEAVING, 100);
		expect(mayReceive(table, entry('i'), 5000)).toBe(false);
	});

	it('does not hold what one start said against a later one, nor against another target', () => {
		const table = new TargetSignalTable(DRAIN_MS);
		table.record(entry('i', 5), {rateLimitPerS: 3, isLeaving: true}, 100);
		for (const other of [entry('i', 6), entry('j', 5)]) {
			expect([mayReceive(table, other, 5000), table.rateLimitOf(other)]).toEqual([true, undefined]);
		}
	});

	it('tells only of what is new', () => {
		const table = new TargetSignalTable(DRAIN_MS);
		const limit = (rateLimitPerS?: number) => table.record(entry('i', 5), {rateLimitPerS, isLeaving: false}, 0);
		expect([limit(), limit(3), limit(3), limit(4), limit(), limit()]).toEqual([false, true, false, true, true, false]);
	});
});
