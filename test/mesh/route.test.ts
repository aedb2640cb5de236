import {
	describe, expect, it, vi,
} from 'vitest';
import {RouteTable, TrafficSplitter} from '../../src/mesh/index.js';
import {createRoute} from '../../standins/mesh.js';

const table = new RouteTable([
	createRoute('short', 's', {host: 'a.example', prefix: '/x/'}),
	createRoute('long', 's', {host: 'a.example', prefix: '/x/y/'}),
	createRoute('all', 's', {host: 'b.example', prefix: '/'}),
]);
const match = (host: string, target: string) => table.match(host, target)?.name;

describe('RouteTable', () => {
	it('matches the longest prefix of whole path segments', () => {
		expect(match('a.example', '/x/y/z')).toBe('long');
		expect(match('a.example', '/x/y')).toBe('short');
		expect(match('a.example', '/x/yy/z')).toBe('short');
	});

	it('matches the host without regard to port and case', () => {
		expect(match('A.example:80', '/x/')).toBe('short');
		expect(match('b.example', '/x/y/z')).toBe('all');
		expect(match('c.example', '/x/')).toBeUndefined();
	});

	// Guards against a request that holds all others up: each of its slashes was looked at, which took 245 ms for 16,000.
	it('looks at no more of a path than its longest prefix', () => {
		const get = vi.spyOn(Map.prototype, 'get');
		try {
			expect(match('a.example', `/x/${'/'.repeat(60_000)}`)).toBe('short');
			expect(get.mock.calls.length).toBeLessThan(10);
		} finally {
			get.mockRestore();
		}
	});

	it('ignores the query', () => {
		expect(match('a.example', '/x/y?z=/x/y/')).toBe('short');
		expect(match('a.example', '/w?/x/')).toBeUndefined();
	});
});

describe('TrafficSplitter', () => {
	it('follows the weights in every 20 consecutive requests', () => {
		const split = createRoute('split', '', {destinations: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]});
		const splitter = new TrafficSplitter(() => 0.5);
		for (let round = 0; round < 5; round++) {
			const chosen = Array.from({length: 20}, () => splitter.choose(split));
			expect(chosen.filter(service => service === 'b')).toHaveLength(2);
		}
	});

	it('drops accumulated credits when the weights change', () => {
		const splitter = new TrafficSplitter(() => 0);
		const splitOf = (weight: number) => createRoute('split', '', {destinations: [{service: 'a', weight}, {service: 'b', weight: 100 - weight}]});
		splitter.choose(splitOf(100));
		expect(splitter.choose(splitOf(0))).toBe('b');
	});
});
