import {describe, expect, it} from 'vitest';
import {MAX_FLOOR} from '../../src/core/index.js';
import {
	type HostEntry, HostTable, LOAD_BALANCING, LoadBalancer, RetryBudget, chooseRetryAfterMs,
} from '../../src/mesh/index.js';

const entry = (host: string, failureDomain = 'a'): HostEntry => ({
	host, failureDomain, address: '127.0.0.1:1', target: {
		id: `i-${host}`, service: 's', slots: 10, state: 'ready',
	},
});
const placement = () => new LoadBalancer('a', LOAD_BALANCING, () => 0);
const choose = (chooser: LoadBalancer, entries: HostEntry[], nowMs = 0, tried: string[] = []) => chooser.choose(entries, 'r', 1000, tried, nowMs)?.host;
const load = (running: number, serviceMs = 20) => ({
	running, queued: 0, limit: 10, serviceMs,
});

describe('placing a call', () => {
	it('stays in the own failure domain while there is room', () => {
		const chooser = placement();
		chooser.onReport('near', 'r', load(5), 0);
		expect(choose(chooser, [entry('far', 'b'), entry('near')])).toBe('near');
	});

	it('stays there beside a copy that is slow but well within the objective', () => {
		const chooser = placement();
		chooser.onReport('near', 'r', load(5, 200), 0);
		chooser.onReport('far', 'r', load(5, 90), 0);
		expect(choose(chooser, [entry('far', 'b'), entry('near')])).toBe('near');
	});

	it('leaves it before calls would wait', () => {
		const chooser = placement();
		chooser.onReport('near', 'r', load(12, 50), 0);
		expect(choose(chooser, [entry('near'), entry('far', 'b')])).toBe('far');
	});

	it('counts own calls in flight that no report has seen', () => {
		const chooser = placement();
		for (let number = 0; number < 12; number++) {
			chooser.onSent('near');
		}

		expect(choose(chooser, [entry('near'), entry('far', 'b')])).toBe('far');
	});

	it('avoids a target that fails calls, and forgives it', () => {
		const chooser = placement();
		for (let number = 0; number < 10; number++) {
			chooser.onOutcome('grey', true, 0);
		}

		const entries = [entry('grey'), entry('sound', 'b')];
		expect(choose(chooser, entries)).toBe('sound');
		expect(choose(chooser, entries, 30_000)).toBe('grey');
	});

	it('avoids an unreachable host until it is heard or time has passed, but not at all costs', () => {
		const chooser = placement();
		const entries = [entry('down'), entry('up', 'b')];
		chooser.markUnreachable('down', 0);
		expect(choose(chooser, entries, 10)).toBe('up');
		expect(choose(chooser, entries, 500)).toBe('down');
		expect(choose(chooser, [entry('down')], 10)).toBe('down');
		chooser.markUnreachable('down', 0);
		chooser.clearMarks('down');
		expect(choose(chooser, entries, 10)).toBe('down');
	});

	it('never goes twice to the same', () => {
		expect(choose(placement(), [entry('a')], 0, ['a'])).toBeUndefined();
	});
});

describe('the hosts known of', () => {
	it('follow the newest word, and are used for a while after their entry lapsed', () => {
		const hosts = new HostTable(2000);
		hosts.put(entry('h'), 5);
		expect(hosts.put({...entry('h'), target: undefined}, 4)).toBe(false);
		hosts.markDeleted('h', 6, 0);
		expect(hosts.removeDeleted(1999)).toEqual([]);
		expect(hosts.serving('s')).toHaveLength(1);
		expect(hosts.removeDeleted(2000)).toEqual(['h']);
		expect(hosts.serving('s')).toHaveLength(0);
	});

	it('stay when a lapsed entry is back in time', () => {
		const hosts = new HostTable(2000);
		hosts.put(entry('h'), 5);
		hosts.reconcile(new Set(), 6, 0);
		hosts.put(entry('h'), 7);
		expect(hosts.removeDeleted(5000)).toEqual([]);
	});
});

describe('the budget of second sends', () => {
	const site = {ratio: 0.2, slack: 48, windowMs: 10_000};
	// Each daemon sends for a window first without and then with failures; what it spends in the second counts.
	const spentBy = (daemons: number, requests: number, fail: (budget: RetryBudget, nowMs: number) => number) => {
		let spent = 0;
		for (let daemon = 0; daemon < daemons; daemon++) {
			const budget = new RetryBudget(site);
			budget.setDaemonCount(daemons);
			for (let number = 0; number < requests * 2; number++) {
				const nowMs = number * 10_000 / requests;
				budget.recordFirstSend('s', nowMs);
				spent += number >= requests ? fail(budget, nowMs) : 0;
			}
		}

		return spent;
	};

	it.each([[12, 3000], [12, 25], [79, 300], [300, 20]])('of %d daemons with %d requests each stays within the site\'s, in any window', (daemons, requests) => {
		const spent = spentBy(daemons, requests, (budget, nowMs) => budget.spend('s', MAX_FLOOR, nowMs) ? 1 : 0);
		expect(spent).toBeLessThanOrEqual((0.2 * requests * daemons) + 48);
		expect(spent).toBeGreaterThan((0.2 * requests * daemons) / 2);
	});

	it('is spent by the calls that repeated runs make', () => {
		const spent = spentBy(12, 3000, (budget, nowMs) => {
			if (!budget.spend('s', MAX_FLOOR, nowMs)) {
				return 0;
			}

			budget.chargeRetriedRun('s', nowMs);
			budget.chargeRetriedRun('s', nowMs);
			return 3;
		});
		expect(spent).toBeLessThanOrEqual((0.2 * 3000 * 12) + 48);
	});

	it('is left to the roots of the highest standing when it runs low', () => {
		let high = 0;
		let low = 0;
		spentBy(12, 3000, (budget, nowMs) => {
			low += budget.spend('s', MAX_FLOOR * 0.7, nowMs) ? 1 : 0;
			high += budget.spend('s', MAX_FLOOR * 0.98, nowMs) ? 1 : 0;
			return 0;
		});
		expect(low / high).toBeLessThan(0.2);
	});
});

describe('the time to come back', () => {
	it('lies within the third of its time that a client waits', () => {
		for (const random of [0, 0.5, 1]) {
			for (const leftMs of [500, 5000]) {
				for (const reason of ['transient', 'overload'] as const) {
					expect(chooseRetryAfterMs(reason, leftMs, 1000, () => random)).toBeLessThanOrEqual(leftMs / 3);
				}
			}
		}
	});

	it('spreads the returns of an overload', () => {
		const at = (random: number) => chooseRetryAfterMs('overload', 5000, 1200, () => random);
		expect(at(1) - at(0)).toBeGreaterThan(500);
	});
});
