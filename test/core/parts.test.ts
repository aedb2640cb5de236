import {describe, expect, it} from 'vitest';
import {RetryBudget, childTokensOf, forwardedTokensOf} from '../../src/core/retrytokens.js';
import {FloorController} from '../../src/core/floorcontroller.js';
import {FenceRound} from '../../src/core/fenceround.js';
import {parseKeyTimeMs} from '../../src/core/idempotencykey.js';
import {Ledger, isLowerToken} from '../../src/core/ledger.js';
import {
	LEVELS_PER_RANK, MAX_FLOOR, levelOf, admittedShareOf, rankOf,
} from '../../src/core/level.js';
import {ConcurrencyLimit} from '../../src/core/concurrencylimit.js';
import {type Member} from '../../src/core/member.js';
import {FloorTable} from '../../src/core/floortable.js';
import {PriorityQueue} from '../../src/core/priorityqueue.js';
import {TimerWheel} from '../../src/core/timerwheel.js';

const token = (attempt: number, tie = 'a') => ({attempt, tie});
const complete = {outcome: 'complete', payload: 'whole'} as const;
const notRun = {outcome: 'not-run', reason: 'overload'} as const;
const member = (id: string): Member => ({
	id, address: id, region: 'r', failureDomain: 'a', incarnation: 1, status: 'alive', slots: 1, connections: 1,
});

describe('levels', () => {
	it('stay the same for a root request within an epoch, so that every hop sheds the same requests', () => {
		expect(levelOf(2, 'root', 7)).toBe(levelOf(2, 'root', 7));
		expect(rankOf(levelOf(2, 'root', 7))).toBe(2);
	});

	it('let a floor admit a rank in proportion, all of it at zero and none at the maximum', () => {
		expect(admittedShareOf(1, 0)).toBe(1);
		expect(admittedShareOf(1, 1.5 * LEVELS_PER_RANK)).toBe(0.5);
		expect(admittedShareOf(1, MAX_FLOOR)).toBe(0);
	});
});

describe('the priority queue', () => {
	const queued = (level: number, name: string) => ({level, name});

	it('serves the highest rank first, and the oldest entry first even if a newer one of its rank has a higher level', () => {
		const queue = new PriorityQueue<{level: number; name: string}>();
		for (const entry of [queued(5, 'old'), queued(LEVELS_PER_RANK + 1, 'high'), queued(9, 'new')]) {
			queue.push(entry);
		}

		expect([queue.pop(), queue.pop(), queue.pop()].map(entry => entry?.name)).toEqual(['high', 'old', 'new']);
		expect(queue.pop()).toBeUndefined();
	});

	it('evicts the entry of the lowest level and serves it no more', () => {
		const queue = new PriorityQueue<{level: number; name: string}>();
		for (const entry of [queued(9, 'nine'), queued(5, 'five')]) {
			queue.push(entry);
		}

		expect(queue.evict()?.name).toBe('five');
		expect(queue.pop()?.name).toBe('nine');
		expect(queue.length).toBe(0);
	});

	it('counts the entries at a level or above, those at the level included', () => {
		const queue = new PriorityQueue();
		for (const level of [1, 3, 3, 7]) {
			queue.push({level});
		}

		expect(queue.countAtLeast(3)).toBe(3);
	});
});

describe('retry tokens', () => {
	it('are never passed on in a larger number than a request has', () => {
		for (let tokens = 0; tokens < 20; tokens++) {
			expect(childTokensOf(tokens)).toBeLessThanOrEqual(tokens);
			expect(forwardedTokensOf(tokens)).toBeLessThanOrEqual(tokens);
		}
	});

	it('limit the retries to the ratio of calls plus the initial credit', () => {
		const budget = new RetryBudget();
		let retries = 0;
		for (let call = 0; call < 1000; call++) {
			budget.onCall('s', 0.1);
			retries += budget.tryTake('s') ? 1 : 0;
		}

		expect(retries).toBeLessThanOrEqual(110);
	});
});

describe('the ledger', () => {
	it('does not run a key twice, and replays its answer', () => {
		const ledger = new Ledger(0, 10);
		expect(ledger.begin('k', token(1), 100)).toEqual({verdict: 'run'});
		expect(ledger.begin('k', token(1, 'b'), 100)).toEqual({verdict: 'running'});
		ledger.finish('k', complete);
		expect(ledger.begin('k', token(2), 100)).toEqual({verdict: 'done', answer: complete});
	});

	it('lets a key run again after an attempt that was not run', () => {
		const ledger = new Ledger(0, 10);
		ledger.begin('k', token(1), 100);
		ledger.finish('k', notRun);
		expect(ledger.begin('k', token(1), 100).verdict).toBe('run');
	});

	it('refuses a fencing token below a promised one', () => {
		const ledger = new Ledger(0, 10);
		expect(ledger.fence('k', token(2), 1, 100).verdict).toBe('fenced');
		expect(ledger.begin('k', token(1), 100).verdict).toBe('superseded');
		expect(ledger.begin('k', token(2), 100).verdict).toBe('run');
	});

	it('promises nothing for a key that may be older than the ledger', () => {
		expect(new Ledger(50, 10).fence('k', token(2), 49, 100).verdict).toBe('unvouched');
	});

	it('refuses a new key when it is full instead of dropping an entry', () => {
		const ledger = new Ledger(0, 1);
		ledger.begin('a', token(1), 100);
		expect(ledger.begin('b', token(1), 100).verdict).toBe('full');
		expect(ledger.fence('c', token(2), 1, 100).verdict).toBe('full');
	});

	it('passes the answer to those who wait for a running key', () => {
		const ledger = new Ledger(0, 10);
		const received: unknown[] = [];
		ledger.begin('k', token(1), 100);
		ledger.addWaiter('k', answer => {
			received.push(answer);
		});
		ledger.finish('k', complete);
		expect(received).toEqual([complete]);
	});

	it('keeps a running key after its resend window has ended', () => {
		const ledger = new Ledger(0, 10);
		ledger.begin('k', token(1), 100);
		ledger.removeExpired(200);
		expect(ledger.begin('k', token(2), 300).verdict).toBe('running');
	});

	it('orders fencing tokens by attempt, then by tie', () => {
		expect(isLowerToken(token(1, 'z'), token(2, 'a'))).toBe(true);
		expect(isLowerToken(token(2, 'a'), token(2, 'b'))).toBe(true);
	});
});

describe('a fence round', () => {
	const round = () => new FenceRound('k', token(2), 0);
	const fenced = {verdict: 'fenced'} as const;

	it('lets a key run only when all upstreams have promised', () => {
		const fence = round();
		fence.takeUnasked([member('a'), member('b')]);
		fence.onFenceReply('a', fenced);
		expect(fence.result).toBeUndefined();
		fence.onFenceReply('b', fenced);
		expect(fence.result).toEqual({kind: 'clear'});
	});

	it('does not let a key run when an upstream cannot be asked', () => {
		const fence = round();
		fence.takeUnasked([member('a'), member('b')]);
		fence.onFenceReply('a', fenced);
		fence.onFenceReply('b', undefined);
		expect(fence.result).toEqual({kind: 'unavailable'});
	});

	// Guards against "not-run" for a request that has run, from a daemon that has just started and knows no upstream.
	it('does not let a key run when no upstream is known', () => {
		expect(round().result).toEqual({kind: 'unavailable'});
	});

	it('has no result while an upstream is running the key', () => {
		const fence = round();
		fence.takeUnasked([member('a')]);
		fence.onFenceReply('a', {verdict: 'running'});
		expect(fence.result).toBeUndefined();
		fence.onFenceReply('a', fenced);
		expect(fence.result).toEqual({kind: 'clear'});
	});
});

describe('the floor table', () => {
	const report = (upstream: string, floor: number, ageMs = 0) => ({
		service: 's', upstream, floor, ageMs,
	});

	it('takes the mean over the upstreams of a service', () => {
		const table = new FloorTable();
		table.record(report('a', 100), 0);
		table.record(report('b', 300), 0);
		expect(table.meanFloorOf('s', 1)).toBe(200);
	});

	it('ignores a report that is older than the one it holds, so that old floors do not circulate', () => {
		const table = new FloorTable();
		table.record(report('a', 900), 1000);
		table.record(report('a', 100, 500), 1010);
		expect(table.meanFloorOf('s', 1010)).toBe(900);
	});

	it('lets a floor decay that no report confirms, so that recovery needs no traffic', () => {
		const table = new FloorTable();
		table.record(report('a', 1000), 0);
		expect(table.meanFloorOf('s', 1500)).toBeLessThan(20);
		expect(table.meanFloorOf('s', 4000)).toBe(0);
	});
});

describe('the floor controller', () => {
	const load = (waiting: number) => ({
		serviceRate: 1, queuedWork: () => waiting, queueTargetMs: () => 50, isSaturated: true,
	});

	function settle(controller: FloorController, arrivals: ReadonlyArray<readonly [level: number, perStep: number]>, waiting: number): void {
		for (let step = 1; step <= 100; step++) {
			for (const [level, count] of arrivals) {
				for (let at = 0; at < count; at++) {
					controller.onArrival(level, 0);
				}
			}

			controller.update(step * 50, () => load(waiting));
		}
	}

	it('sheds only the excess demand, and only in the lowest rank', () => {
		const controller = new FloorController();
		settle(controller, [[10, 60], [LEVELS_PER_RANK + 10, 20]], 50);
		expect(controller.floor).toBeGreaterThan(0.4 * LEVELS_PER_RANK);
		expect(controller.floor).toBeLessThan(0.6 * LEVELS_PER_RANK);
	});

	it('sheds nothing while the target is not saturated', () => {
		const controller = new FloorController();
		controller.onArrival(10, 0);
		controller.update(100, () => ({...load(0), isSaturated: false}));
		expect(controller.floor).toBe(0);
	});

	it('estimates the demand before senders shed, so that the floor does not fall when they begin to', () => {
		const unshed = new FloorController();
		settle(unshed, [[10, 80]], 50);
		const halved = new FloorController();
		for (let step = 1; step <= 100; step++) {
			for (let at = 0; at < 40; at++) {
				halved.onArrival(LEVELS_PER_RANK - 1, LEVELS_PER_RANK / 2);
			}

			halved.update(step * 50, () => load(50));
		}

		expect(Math.abs(halved.floor - unshed.floor)).toBeLessThan(20);
	});
});

describe('the concurrency limit, timers and key times', () => {
	it('starts low for a cold target, rises to its slots and falls when it refuses', () => {
		const limit = new ConcurrencyLimit(8, true);
		expect(limit.value).toBe(2);
		for (let at = 0; at < 10; at++) {
			limit.onSuccess();
		}

		expect(limit.value).toBe(8);
		limit.onRefusal();
		expect(limit.value).toBe(7);
	});

	it('returns each id when it is due, also after a pause', () => {
		const timeouts = new TimerWheel();
		timeouts.add(1, 100);
		timeouts.add(2, 100_000);
		expect(timeouts.takeDue(50)).toEqual([]);
		expect(timeouts.takeDue(120)).toEqual([1]);
		expect(timeouts.takeDue(1_000_000)).toEqual([2]);
	});

	it('returns an id that was already due when it was added', () => {
		const timeouts = new TimerWheel();
		timeouts.takeDue(1000);
		timeouts.add(1, 10);
		expect(timeouts.takeDue(1020)).toEqual([1]);
	});

	it('reads a creation time from a UUIDv7 key only', () => {
		expect(parseKeyTimeMs('01a3185c-5beb-7000-8000-00000000005a')).toBe(0x01_A3_18_5C_5B_EB);
		expect(parseKeyTimeMs('01a3185c-5beb-4000-8000-00000000005a')).toBeUndefined();
	});
});
