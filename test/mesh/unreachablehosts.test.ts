import {describe, expect, it} from 'vitest';
import {UnreachableHosts} from '../../src/mesh/index.js';

describe('lost hosts', () => {
	it('are collected after a minute or two, and not at once by all', () => {
		const lost = new UnreachableHosts(() => 0.5);
		lost.add('h', 0);
		lost.add('h', 50_000);
		expect([lost.dueForRemoval(89_999), lost.dueForRemoval(90_000), lost.dueForRemoval(90_001)]).toEqual([[], ['h'], []]);
	});

	it('that are back are left alone', () => {
		const lost = new UnreachableHosts(() => 0);
		lost.add('h', 0);
		expect([lost.delete('h'), lost.delete('h'), lost.dueForRemoval(1_000_000)]).toEqual([true, false, []]);
	});
});
