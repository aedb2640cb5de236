import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {chooseMeshNeighbors} from '../../src/mesh/index.js';

type Located = {readonly host: string; readonly failureDomain: string};

const createHosts = (count: number, domainCount: number): Located[] => Array.from({length: count}, (_, index) => ({host: `host-${index}`, failureDomain: `domain-${index % domainCount}`}));

/** The links that the hosts open, each choosing among those that it can reach. */
const linksOf = (hosts: readonly Located[], reachableFrom = (_self: Located) => hosts) => hosts.flatMap(self =>
	[...chooseMeshNeighbors(self, reachableFrom(self).filter(({host}) => host !== self.host))].map((host): [Located, Located] => [self, hosts.find(other => other.host === host)!]));

const countGroups = (hosts: readonly Located[], links: ReadonlyArray<[Located, Located]>) => {
	const groups = new Map(hosts.map(({host}) => [host, new Set([host])]));
	for (const [{host: from}, {host: to}] of links) {
		const joined = new Set([...groups.get(from)!, ...groups.get(to)!]);
		for (const host of joined) {
			groups.set(host, joined);
		}
	}

	return new Set(groups.values()).size;
};

const countAcross = (hosts: readonly Located[]) => linksOf(hosts).filter(([from, to]) => from.failureDomain !== to.failureDomain).length;

describe('the links of the mesh', () => {
	it('connect all hosts, whichever of them can\'t be reached', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 60}), fc.integer({min: 1, max: 8}), fc.array(fc.nat(59), {maxLength: 50}), (count, domainCount, lost) => {
			const hosts = createHosts(count, domainCount).filter((_host, index) => !lost.includes(index));
			expect(countGroups(hosts, linksOf(hosts))).toBe(hosts.length === 0 ? 0 : 1);
		}), {numRuns: 200, endOnFailure: true});
	});

	it('connect all hosts if those of one domain don\'t know that its gateways are lost', () => {
		const hosts = createHosts(60, 3);
		const gateways = new Set(linksOf(hosts).filter(([from, to]) => from.failureDomain !== to.failureDomain && from.failureDomain === 'domain-0').map(([{host}]) => host));
		const running = hosts.filter(({host}) => !gateways.has(host));
		const known = (self: Located) => self.failureDomain === 'domain-0' ? hosts : running;
		const links = linksOf(running, known).filter(([, to]) => to !== undefined);
		expect([gateways.size, countGroups(running, links)]).toEqual([3, 1]);
	});

	it('lead from any of 240 hosts to any other in five steps', () => {
		const hosts = createHosts(240, 3);
		const linked = new Map(hosts.map(({host}) => [host, new Set([host])]));
		for (const [{host: from}, {host: to}] of linksOf(hosts)) {
			linked.get(from)!.add(to);
			linked.get(to)!.add(from);
		}

		const countSteps = (start: string) => {
			let reached = new Set([start]);
			let steps = 0;
			for (; reached.size < hosts.length; steps++) {
				reached = new Set([...reached].flatMap(host => [...linked.get(host)!]));
			}

			return steps;
		};

		expect(Math.max(...hosts.map(({host}) => countSteps(host)))).toBeLessThanOrEqual(5);
	});

	it('cross between failure domains as often with 480 hosts as with 96, and at each host at most once to each other domain', () => {
		const hosts = createHosts(480, 8);
		expect(countAcross(hosts)).toBe(countAcross(createHosts(96, 8)));
		expect(Math.max(...hosts.map(self => chooseMeshNeighbors(self, hosts).size))).toBeLessThanOrEqual(10);
	});
});
