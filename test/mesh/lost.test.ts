import {describe, expect, it} from 'vitest';
import {LostHosts} from '../../src/mesh/index.js';

describe('lost hosts', () => {
	it('are collected after a minute or two, and not at once by all', () => {
		const lost = new LostHosts(() => 0.5);
		lost.add('h', 0);
		lost.add('h', 50_000);
		expect([lost.due(89_999), lost.due(90_000), lost.due(90_001)]).toEqual([[], ['h'], []]);
	});

	it('that are back are left alone', () => {
		const lost = new LostHosts(() => 0);
		lost.add('h', 0);
		expect([lost.delete('h'), lost.delete('h'), lost.due(1_000_000)]).toEqual([true, false, []]);
	});
});
