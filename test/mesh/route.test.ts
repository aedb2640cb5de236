import {describe, expect, it} from 'vitest';
import {RouteTable, TrafficSplitter} from '../../src/mesh/index.js';
import {route} from '../../standins/mesh.js';

const table = new RouteTable([
	route('short', 's', {host: 'a.example', prefix: '/x/'}),
	route('long', 's', {host: 'a.example', prefix: '/x/y/'}),
	route('all', 's', {host: 'b.example', prefix: '/'}),
]);
const match = (host: string, target: string) => table.match(host, target)?.name;

describe('the route of a request', () => {
	it('has the longest prefix', () => {
		expect(match('a.example', '/x/y/z')).toBe('long');
		expect(match('a.example', '/x/y')).toBe('short');
		expect(match('a.example', '/x/yy/z')).toBe('short');
	});

	it('is of the host asked for, without its port and case', () => {
		expect(match('A.example:80', '/x/')).toBe('short');
		expect(match('b.example', '/x/y/z')).toBe('all');
		expect(match('c.example', '/x/')).toBeUndefined();
	});

	it('is not chosen by the query', () => {
		expect(match('a.example', '/x/y?z=/x/y/')).toBe('short');
		expect(match('a.example', '/w?/x/')).toBeUndefined();
	});
});

describe('a split', () => {
	it('keeps to its weights in every run of requests', () => {
		const split = route('split', '', {destinations: [{service: 'a', weight: 90}, {service: 'b', weight: 10}]});
		const splitter = new TrafficSplitter(() => 0.5);
		for (let run = 0; run < 5; run++) {
			const chosen = Array.from({length: 20}, () => splitter.choose(split));
			expect(chosen.filter(service => service === 'b')).toHaveLength(2);
		}
	});

	it('begins anew when its weights change', () => {
		const splitter = new TrafficSplitter(() => 0);
		const of = (weight: number) => route('split', '', {destinations: [{service: 'a', weight}, {service: 'b', weight: 100 - weight}]});
		splitter.choose(of(100));
		expect(splitter.choose(of(0))).toBe('b');
	});
});
