import {describe, expect, it} from 'vitest';
import {IdleConnectionLimit} from '../../src/mesh/index.js';

describe('IdleConnectionLimit', () => {
	it('allows any idle time before a loss', () => {
		expect(new IdleConnectionLimit().allows(60_000, 0)).toBe(true);
	});

	it('rejects connections that were idle for more than half the time that lost one', () => {
		const limit = new IdleConnectionLimit();
		limit.recordLoss(400, 1000);
		expect([limit.allows(200, 1000), limit.allows(201, 1000)]).toEqual([true, false]);
	});

	it('keeps the limit of the shortest idle time when a loss after a longer one follows', () => {
		const limit = new IdleConnectionLimit();
		limit.recordLoss(400, 1000);
		limit.recordLoss(900, 1100);
		expect(limit.allows(201, 1100)).toBe(false);
	});

	it('allows any idle time again after ten seconds', () => {
		const limit = new IdleConnectionLimit();
		limit.recordLoss(400, 1000);
		expect(limit.allows(60_000, 11_000)).toBe(true);
	});
});
