import {describe, expect, it} from 'vitest';
import {UnreachableHosts} from '../../src/mesh/index.js';

describe('UnreachableHosts', () => {
	it('has an entry removed after one to two minutes with a random delay, and not twice in a row', () => {
		const unreachable = new UnreachableHosts(() => 0.5);
		unreachable.add('h', 0);
		unreachable.add('h', 50_000);
		expect([unreachable.dueForRemoval(89_999), unreachable.dueForRemoval(90_000), unreachable.dueForRemoval(90_001)]).toEqual([[], ['h'], []]);
	});

	it('has no entry removed of a host that is reachable again', () => {
		const unreachable = new UnreachableHosts(() => 0);
		unreachable.add('h', 0);
		expect([unreachable.delete('h'), unreachable.delete('h'), unreachable.dueForRemoval(1_000_000)]).toEqual([true, false, []]);
	});
});
