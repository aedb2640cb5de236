import {describe, expect, it} from 'vitest';
import {type Announcement, TargetLifecycle, UNKNOWN_START_MS} from '../../src/mesh/index.js';

const DRAIN_MS = 1000;
const announcement = (more: Partial<Announcement> = {}): Announcement => ({
	id: 'i', bornMs: 10, seq: 1, service: 's', failureDomain: 'a', address: '1:1', slots: 4, state: 'ready', warmUpLeftMs: 0, ...more,
});
const createJoined = () => {
	const lifecycle = new TargetLifecycle(DRAIN_MS);
	lifecycle.announce(announcement(), 0);
	return lifecycle;
};

describe('TargetLifecycle', () => {
	it('gives the target no calls before its first announcement, nor calls for another instance', () => {
		expect(new TargetLifecycle(DRAIN_MS).mayServe('i', 0)).toBe(false);
		expect(createJoined().mayServe('i', 0)).toBe(true);
		expect(createJoined().mayServe('another', 0)).toBe(false);
	});

	it('gives a draining target no calls once the drain time is over', () => {
		const lifecycle = createJoined();
		expect(lifecycle.announce(announcement({seq: 2, state: 'draining'}), 100)).toBe('draining');
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS - 1)).toBe(true);
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});

	it('starts the drain at a deregistration that follows no draining state and names no start', () => {
		const lifecycle = createJoined();
		expect(lifecycle.deregister({id: 'i'}, 100)).toBe('left');
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});

	it('ignores an announcement that was delayed until after the deregistration', () => {
		const lifecycle = createJoined();
		lifecycle.deregister({id: 'i'}, 100);
		expect(lifecycle.announce(announcement({seq: 9}), 200)).toBe('stale');
		lifecycle.forget();
		expect(lifecycle.announce(announcement({seq: 9}), 300)).toBe('stale');
	});

	it('accepts a later start under the same id, with restarted sequence numbers', () => {
		const lifecycle = createJoined();
		lifecycle.announce(announcement({seq: 7}), 50);
		lifecycle.deregister({id: 'i'}, 100);
		expect(lifecycle.announce(announcement({bornMs: 500, seq: 1}), 600)).toBe('joined');
		expect(lifecycle.mayServe('i', 5000)).toBe(true);
	});

	it('ignores the announcement and the deregistration of an older start', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.announce(announcement({bornMs: 500}), 0);
		expect(lifecycle.announce(announcement({id: 'old', bornMs: 10, seq: 99}), 1)).toBe('stale');
		expect(lifecycle.deregister({id: 'i', bornMs: 10}, 2)).toBe('stale');
		expect(lifecycle.mayServe('i', 5000)).toBe(true);
	});

	it('ignores an earlier start when a restarted daemon has received only its deregistration', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.deregister({id: 'i'}, 1000);
		expect(lifecycle.announce(announcement({bornMs: 900, seq: 5}), 1100)).toBe('stale');
		expect(lifecycle.mayServe('i', 1100)).toBe(false);
	});
});

describe('a start of a target that had ended before its daemon restarted', () => {
	it('is neither taken from a health check nor from an announcement, and no longer served if it was', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.announce(announcement({bornMs: UNKNOWN_START_MS}), 0);
		expect(lifecycle.restoreEnded({id: 'i', bornMs: 10})).toBe(true);
		expect(lifecycle.mayServe('i', 1)).toBe(false);
		expect(lifecycle.announce(announcement({bornMs: UNKNOWN_START_MS, seq: 2}), 2)).toBe('stale');
		expect(lifecycle.announce(announcement({seq: 9}), 3)).toBe('stale');
		expect(lifecycle.announce(announcement({bornMs: 11}), 4)).toBe('joined');
	});

	it('replaces neither a later start nor what is known since', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.announce(announcement({bornMs: 20}), 0);
		expect(lifecycle.restoreEnded({id: 'i', bornMs: 10})).toBe(false);
		lifecycle.deregister({id: 'i'}, 30);
		lifecycle.restoreEnded({id: 'other', bornMs: 10});
		expect(lifecycle.ended).toEqual({id: 'i', bornMs: 20});
	});
});

describe('a drain of which an earlier process of the daemon may have heard', () => {
	it.each([
		{name: 'the first announcement heard says so', before: []},
		{name: 'only a health check found the target before', before: [{bornMs: UNKNOWN_START_MS, seq: 0}]},
		{name: 'an announcement was missed behind the only one heard', before: [{seq: 4}]},
		{name: 'an announcement was missed behind the only one heard besides a health check', before: [{bornMs: UNKNOWN_START_MS, seq: 0}, {seq: 4}]},
	])('counts as over, when $name', ({before}) => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		for (const more of before) {
			lifecycle.announce(announcement(more), 0);
		}

		lifecycle.announce(announcement({seq: 6, state: 'draining'}), 1);
		expect(lifecycle.drainProgress(1)).toBe('over');
		expect(lifecycle.mayServe('i', 1)).toBe(false);
	});

	it.each([
		{name: 'the announcement before was heard', seqs: [5]},
		{name: 'two earlier ones were heard', seqs: [3, 4]},
	])('begins anew, when $name', ({seqs}) => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		for (const seq of seqs) {
			lifecycle.announce(announcement({seq}), 0);
		}

		expect(lifecycle.announce(announcement({seq: 6, state: 'draining'}), 1)).toBe('draining');
		expect(lifecycle.drainProgress(DRAIN_MS)).toBe('underway');
		expect(lifecycle.drainProgress(1 + DRAIN_MS)).toBe('over');
	});

	it('counts as over, whenever the daemon learns of it from its own entry', () => {
		const before = new TargetLifecycle(DRAIN_MS);
		expect(before.restoreDrained({id: 'i', bornMs: 10})).toBe(false);
		expect(before.announce(announcement({bornMs: UNKNOWN_START_MS, seq: 0}), 0)).toBe('stale');
		expect(before.announce(announcement(), 0)).toBe('joined');
		expect(before.mayServe('i', 0)).toBe(false);
		expect(before.announce(announcement({bornMs: 20}), 1)).toBe('joined');
		expect(before.mayServe('i', 1)).toBe(true);

		for (const bornMs of [10, UNKNOWN_START_MS]) {
			const after = new TargetLifecycle(DRAIN_MS);
			after.announce(announcement({bornMs}), 0);
			expect(after.restoreDrained({id: 'i', bornMs: 10})).toBe(true);
			expect(after.mayServe('i', 0)).toBe(false);
			expect(after.announce(announcement({bornMs: 20}), 1)).toBe('joined');
			expect(after.mayServe('i', 1)).toBe(true);
		}
	});

	it('counts as over, when the target deregisters after one announcement, or says that it leaves in its first answer', () => {
		const deregistered = createJoined();
		deregistered.deregister({id: 'i'}, 100);
		expect(deregistered.mayServe('i', 100)).toBe(false);
		const leaving = createJoined();
		expect(leaving.startDrain('i', 100, true)).toBe(true);
		expect(leaving.mayServe('i', 100)).toBe(false);
	});

	it('is not prolonged by what the daemon itself has published of it', () => {
		const lifecycle = createJoined();
		lifecycle.announce(announcement({seq: 2, state: 'draining'}), 100);
		expect(lifecycle.restoreDrained({id: 'i', bornMs: 10})).toBe(false);
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS - 1)).toBe(true);
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});

	it('ends the start for good, once the target is silent', () => {
		const lifecycle = createJoined();
		lifecycle.announce(announcement({seq: 2, state: 'draining'}), 100);
		lifecycle.forget();
		expect(lifecycle.ended).toEqual({id: 'i', bornMs: 10});
		expect(lifecycle.announce(announcement({seq: 3}), 200)).toBe('stale');
	});
});

describe('a target that said in an answer that it leaves', () => {
	it('drains from then on, although it announces itself as ready', () => {
		const lifecycle = createJoined();
		expect([lifecycle.startDrain('i', 100, false), lifecycle.startDrain('i', 900, false), lifecycle.startDrain('another', 100, false)]).toEqual([true, false, false]);
		lifecycle.announce(announcement({seq: 2}), 500);
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS - 1)).toBe(true);
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});

	it('still drains when its start becomes known, after a health check had named only its id', () => {
		const lifecycle = new TargetLifecycle(DRAIN_MS);
		lifecycle.announce(announcement({bornMs: UNKNOWN_START_MS, seq: 0}), 0);
		lifecycle.startDrain('i', 100, false);
		expect(lifecycle.announce(announcement(), 200)).toBe('updated');
		expect(lifecycle.mayServe('i', 100 + DRAIN_MS)).toBe(false);
	});
});
