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

const ballot = (attempt: number, tie = 'a') => ({attempt, tie});
const complete = {outcome: 'complete', payload: 'whole'} as const;
const notRun = {outcome: 'not-run', reason: 'overload'} as const;
const member = (id: string): Member => ({
	id, address: id, region: 'r', failureDomain: 'a', incarnation: 1, status: 'alive', slots: 1, connections: 1,
});

describe('levels', () => {
	it('keep a root at the same level within an epoch', () => {
		expect(levelOf(2, 'root', 7)).toBe(levelOf(2, 'root', 7));
		expect(rankOf(levelOf(2, 'root', 7))).toBe(2);
	});

	it('open a rank in proportion to the floor', () => {
		expect(admittedShareOf(1, 0)).toBe(1);
		expect(admittedShareOf(1, 1.5 * LEVELS_PER_RANK)).toBe(0.5);
		expect(admittedShareOf(1, MAX_FLOOR)).toBe(0);
	});
});

describe('the queue', () => {
	const queued = (level: number, name: string) => ({level, name});

	it('serves the highest rank first and the oldest first within it', () => {
		const queue = new PriorityQueue<{level: number; name: string}>();
		for (const entry of [queued(5, 'old'), queued(LEVELS_PER_RANK + 1, 'high'), queued(9, 'new')]) {
			queue.push(entry);
		}

		expect([queue.pop(), queue.pop(), queue.pop()].map(entry => entry?.name)).toEqual(['high', 'old', 'new']);
		expect(queue.pop()).toBeUndefined();
	});

	it('evicts the lowest level', () => {
		const queue = new PriorityQueue<{level: number; name: string}>();
		for (const entry of [queued(9, 'nine'), queued(5, 'five')]) {
			queue.push(entry);
		}

		expect(queue.evict()?.name).toBe('five');
		expect(queue.pop()?.name).toBe('nine');
		expect(queue.length).toBe(0);
	});

	it('counts what waits at a level or above', () => {
		const queue = new PriorityQueue();
		for (const level of [1, 3, 3, 7]) {
			queue.push({level});
		}

		expect(queue.countAtLeast(3)).toBe(3);
	});
});

describe('retry tokens', () => {
	it('never add up to more than the pot', () => {
		for (let pot = 0; pot < 20; pot++) {
			expect(childTokensOf(pot)).toBeLessThanOrEqual(pot);
			expect(forwardedTokensOf(pot)).toBeLessThanOrEqual(pot);
		}
	});

	it('stop at the ratio', () => {
		const ratio = new RetryBudget();
		let taken = 0;
		for (let call = 0; call < 1000; call++) {
			ratio.onCall('s', 0.1);
			taken += ratio.tryTake('s') ? 1 : 0;
		}

		expect(taken).toBeLessThanOrEqual(110);
	});
});

describe('the ledger', () => {
	it('runs a key once and replays its answer', () => {
		const ledger = new Ledger(0, 10);
		expect(ledger.begin('k', ballot(1), 100)).toEqual({verdict: 'run'});
		expect(ledger.begin('k', ballot(1, 'b'), 100)).toEqual({verdict: 'running'});
		ledger.finish('k', complete);
		expect(ledger.begin('k', ballot(2), 100)).toEqual({verdict: 'done', answer: complete});
	});

	it('lets a refused key run later', () => {
		const ledger = new Ledger(0, 10);
		ledger.begin('k', ballot(1), 100);
		ledger.finish('k', notRun);
		expect(ledger.begin('k', ballot(1), 100).verdict).toBe('run');
	});

	it('refuses a ballot below a promise', () => {
		const ledger = new Ledger(0, 10);
		expect(ledger.fence('k', ballot(2), 1, 100).verdict).toBe('fenced');
		expect(ledger.begin('k', ballot(1), 100).verdict).toBe('superseded');
		expect(ledger.begin('k', ballot(2), 100).verdict).toBe('run');
	});

	it('does not vouch for keys older than itself', () => {
		expect(new Ledger(50, 10).fence('k', ballot(2), 49, 100).verdict).toBe('unvouched');
	});

	it('refuses rather than forgets when it is full', () => {
		const ledger = new Ledger(0, 1);
		ledger.begin('a', ballot(1), 100);
		expect(ledger.begin('b', ballot(1), 100).verdict).toBe('full');
		expect(ledger.fence('c', ballot(2), 1, 100).verdict).toBe('full');
	});

	it('tells who waits for a running key', () => {
		const ledger = new Ledger(0, 10);
		const told: unknown[] = [];
		ledger.begin('k', ballot(1), 100);
		ledger.addWaiter('k', answer => {
			told.push(answer);
		});
		ledger.finish('k', complete);
		expect(told).toEqual([complete]);
	});

	it('keeps a running key past its window', () => {
		const ledger = new Ledger(0, 10);
		ledger.begin('k', ballot(1), 100);
		ledger.removeExpired(200);
		expect(ledger.begin('k', ballot(2), 300).verdict).toBe('running');
	});

	it('orders ballots by attempt, then by tie', () => {
		expect(isLowerToken(ballot(1, 'z'), ballot(2, 'a'))).toBe(true);
		expect(isLowerToken(ballot(2, 'a'), ballot(2, 'b'))).toBe(true);
	});
});

describe('a fence round', () => {
	const round = () => new FenceRound('k', ballot(2), 0);
	const fenced = {verdict: 'fenced'} as const;

	it('is clear only when all have promised', () => {
		const fence = round();
		fence.takeUnasked([member('a'), member('b')]);
		fence.onFenceReply('a', fenced);
		expect(fence.result).toBeUndefined();
		fence.onFenceReply('b', fenced);
		expect(fence.result).toEqual({kind: 'clear'});
	});

	it('is unavailable when one cannot be asked', () => {
		const fence = round();
		fence.takeUnasked([member('a'), member('b')]);
		fence.onFenceReply('a', fenced);
		fence.onFenceReply('b', undefined);
		expect(fence.result).toEqual({kind: 'unavailable'});
	});

	it('waits for the end of a running key', () => {
		const fence = round();
		fence.takeUnasked([member('a')]);
		fence.onFenceReply('a', {verdict: 'running'});
		expect(fence.result).toBeUndefined();
		fence.onFenceReply('a', fenced);
		expect(fence.result).toEqual({kind: 'clear'});
	});
});

describe('pressure', () => {
	const report = (upstream: string, floor: number, ageMs = 0) => ({
		service: 's', upstream, floor, ageMs,
	});

	it('is the mean over the upstreams', () => {
		const table = new FloorTable();
		table.record(report('a', 100), 0);
		table.record(report('b', 300), 0);
		expect(table.floor('s', 1)).toBe(200);
	});

	it('takes only the newest word of an upstream, whoever passes it on', () => {
		const table = new FloorTable();
		table.record(report('a', 900), 1000);
		table.record(report('a', 100, 500), 1010);
		expect(table.floor('s', 1010)).toBe(900);
	});

	it('decays when nothing confirms it', () => {
		const table = new FloorTable();
		table.record(report('a', 1000), 0);
		expect(table.floor('s', 1500)).toBeLessThan(20);
		expect(table.floor('s', 4000)).toBe(0);
	});
});

describe('the floor', () => {
	const load = (waiting: number) => ({
		serviceRate: 1, waiting: () => waiting, queueTargetMs: 50, saturated: true,
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

	it('sheds the excess of the lowest rank only', () => {
		const controller = new FloorController();
		settle(controller, [[10, 60], [LEVELS_PER_RANK + 10, 20]], 50);
		expect(controller.floor).toBeGreaterThan(0.4 * LEVELS_PER_RANK);
		expect(controller.floor).toBeLessThan(0.6 * LEVELS_PER_RANK);
	});

	it('stays at zero while the target is not saturated', () => {
		const controller = new FloorController();
		controller.onArrival(10, 0);
		controller.update(100, () => ({...load(0), saturated: false}));
		expect(controller.floor).toBe(0);
	});

	it('sees through the floor under which senders admitted', () => {
		const whole = new FloorController();
		settle(whole, [[10, 80]], 50);
		const half = new FloorController();
		for (let step = 1; step <= 100; step++) {
			for (let at = 0; at < 40; at++) {
				half.onArrival(LEVELS_PER_RANK - 1, LEVELS_PER_RANK / 2);
			}

			half.update(step * 50, () => load(50));
		}

		expect(Math.abs(half.floor - whole.floor)).toBeLessThan(20);
	});
});

describe('limits and timeouts', () => {
	it('ramps a cold target up and backs off when it refuses', () => {
		const limit = new ConcurrencyLimit(8, true);
		expect(limit.value).toBe(2);
		for (let at = 0; at < 10; at++) {
			limit.onSuccess();
		}

		expect(limit.value).toBe(8);
		limit.onRefusal();
		expect(limit.value).toBe(7);
	});

	it('gives each id once it is due, also after a pause', () => {
		const timeouts = new TimerWheel();
		timeouts.add(1, 100);
		timeouts.add(2, 100_000);
		expect(timeouts.takeDue(50)).toEqual([]);
		expect(timeouts.takeDue(120)).toEqual([1]);
		expect(timeouts.takeDue(1_000_000)).toEqual([2]);
	});

	it('takes an id that is due already', () => {
		const timeouts = new TimerWheel();
		timeouts.takeDue(1000);
		timeouts.add(1, 10);
		expect(timeouts.takeDue(1020)).toEqual([1]);
	});

	it('reads the time of a UUIDv7 only', () => {
		expect(parseKeyTimeMs('01a3185c-5beb-7000-8000-00000000005a')).toBe(0x01_A3_18_5C_5B_EB);
		expect(parseKeyTimeMs('01a3185c-5beb-4000-8000-00000000005a')).toBeUndefined();
	});
});
