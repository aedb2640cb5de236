import {describe, expect, it} from 'vitest';
import {ConnectionReuse} from '../../src/core/index.js';

const MINUTE_MS = 60_000;

describe('connections of a target', () => {
	it('may be used again until it sends something that no answer covers, and some time after', () => {
		const reuse = new ConnectionReuse();
		expect(reuse.isAllowed(0)).toBe(true);
		reuse.onSurplusBytes(1000);
		expect([reuse.isAllowed(1000), reuse.isAllowed(MINUTE_MS)]).toEqual([false, true]);
	});

	it('stay unused after an answer without a length, whatever comes between', () => {
		const reuse = new ConnectionReuse();
		reuse.onUnframedAnswer(0);
		reuse.onSurplusBytes(10);
		expect([reuse.isAllowed(MINUTE_MS - 1), reuse.isAllowed(MINUTE_MS)]).toEqual([false, true]);
	});
});
