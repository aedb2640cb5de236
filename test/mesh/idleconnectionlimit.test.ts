import {describe, expect, it} from 'vitest';
import {IdleConnectionLimit} from '../../src/mesh/index.js';

describe('a kept connection that rested', () => {
	it('is trusted until one was lost', () => {
		expect(new IdleConnectionLimit().allows(60_000, 0)).toBe(true);
	});

	it('is not used after half the rest that lost another', () => {
		const limit = new IdleConnectionLimit();
		limit.recordLoss(400, 1000);
		expect([limit.allows(200, 1000), limit.allows(201, 1000)]).toEqual([true, false]);
	});

	it('is held to the shortest rest that lost one', () => {
		const limit = new IdleConnectionLimit();
		limit.recordLoss(400, 1000);
		limit.recordLoss(900, 1100);
		expect(limit.allows(201, 1100)).toBe(false);
	});

	it('is trusted again after a while', () => {
		const limit = new IdleConnectionLimit();
		limit.recordLoss(400, 1000);
		expect(limit.allows(60_000, 11_000)).toBe(true);
	});
});
