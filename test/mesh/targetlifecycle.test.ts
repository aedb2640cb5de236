import {describe, expect, it} from 'vitest';
import {type Announcement, TargetLifecycle} from '../../src/mesh/index.js';

const DRAIN_MS = 1000;
const announcement = (more: Partial<Announcement> = {}): Announcement => ({
	id: 'i', bornMs: 10, seq: 1, service: 's', failureDomain: 'a', address: '1:1', slots: 4, state: 'ready', warmUpLeftMs: 0, ...more,
});
const joined = () => {
	const lifecycle = new TargetLifecycle(DRAIN_MS);
	lifecycle.announce(announcement(), 0);
	return lifecycle;
};

describe('a target beside its daemon', () => {
	it('is given nothing before it was heard', () => {
		expect(new TargetLifecycle(DRAIN_MS).mayServe('i', 0)).toBe(false);
		expect(joined().mayServe('i', 0)).toBe(true);
		expect(joined().mayServe('another', 0)).toBe(false);
	});

	it('is given nothing once its drain is over', () => {
		const lifecycle = joined();
		expect(lifecycle.announce(announcement({seq: 2, state: 'draining'}), 100)).toBe('draining');
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS - 1)).toBe(true);
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});

	it('drains from its farewell on, also if it never said so and names no start', () => {
		const lifecycle = joined();
		expect(lifecycle.deregister({id: 'i'}, 100)).toBe('left');
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});

	it('doesn\'t come back by an announcement that was under way', () => {
		const lifecycle = joined();
		lifecycle.deregister({id: 'i'}, 100);
		expect(lifecycle.announce(announcement({seq: 9}), 200)).toBe('stale');
		lifecycle.forget();
		expect(lifecycle.announce(announcement({seq: 9}), 300)).toBe('stale');
	});

	it('comes back under its id with a later start, whose count begins anew', () => {
		const lifecycle = joined();
		lifecycle.announce(announcement({seq: 7}), 50);
		lifecycle.deregister({id: 'i'}, 100);
		expect(lifecycle.announce(announcement({bornMs: 500, seq: 1}), 600)).toBe('joined');
		expect(lifecycle.mayServe('i', 5000)).toBe(true);
	});

	it('isn\'t replaced by a start that is older, nor ended by that start\'s farewell', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.announce(announcement({bornMs: 500}), 0);
		expect(lifecycle.announce(announcement({id: 'old', bornMs: 10, seq: 99}), 1)).toBe('stale');
		expect(lifecycle.deregister({id: 'i', bornMs: 10}, 2)).toBe('stale');
		expect(lifecycle.mayServe('i', 5000)).toBe(true);
	});

	it('is not known to a restarted daemon that hears only its farewell', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.deregister({id: 'i'}, 1000);
		expect(lifecycle.announce(announcement({bornMs: 900, seq: 5}), 1100)).toBe('stale');
		expect(lifecycle.mayServe('i', 1100)).toBe(false);
	});
});
