import {describe, expect, it} from 'vitest';
import {ConfigStore} from '../../src/core/configstore.js';
import {type Member, type MemberStatus} from '../../src/core/member.js';
import {Membership} from '../../src/core/membership.js';
import {isElectedForDuty, chooseNeighbors} from '../../src/core/neighbors.js';
import {type ConfigObject} from '../../src/core/spec.js';

function createMember(id: string, change: Partial<Member> = {}): Member {
	return {
		id, address: id, region: 'r', failureDomain: 'a', incarnation: 1, status: 'alive', service: 's', slots: 1, connections: 1, ...change,
	};
}

function createMembership(...members: Member[]): Membership {
	const membership = new Membership('r', 0);
	for (const one of members) {
		membership.apply(one, 0);
	}

	return membership;
}

const createObject = (generation: number, operationId = `op${generation}`): ConfigObject => ({name: 'service/s', generation, operationId});

describe('membership', () => {
	it('reaches the same digest in whatever order records arrive', () => {
		const records: Member[] = [createMember('a'), createMember('a', {status: 'dead'}), createMember('a', {incarnation: 2}), createMember('b')];
		expect(createMembership(...records).digest).toBe(createMembership(...records.toReversed()).digest);
	});

	it('takes the upstreams of a service that it doesn\'t know for changed since its start', () => {
		const membership = new Membership('r', 7);
		expect(membership.servingChangedMs('s')).toBe(7);
		membership.apply(createMember('a'), 9);
		expect(membership.servingChangedMs('s')).toBe(9);
	});

	it.each<MemberStatus>(['leaving', 'left', 'dead'])('routes no calls to a member that is %s', status => {
		expect(createMembership(createMember('a', {status})).servingUpstreams('s')).toEqual([]);
	});

	it('revives a dead member only with a higher incarnation', () => {
		const membership = createMembership(createMember('a', {status: 'dead'}));
		expect(membership.apply(createMember('a'), 1)).toBe(false);
		expect(membership.apply(createMember('a', {incarnation: 2}), 1)).toBe(true);
		expect(membership.servingUpstreams('s')).toHaveLength(1);
	});

	it('routes to another region only if the own one has no upstream', () => {
		const membership = createMembership(createMember('far', {region: 'q'}));
		expect(membership.servingUpstreams('s').map(({id}) => id)).toEqual(['far']);
		membership.apply(createMember('near'), 0);
		expect(membership.servingUpstreams('s').map(({id}) => id)).toEqual(['near']);
	});

	it('keeps the home of every other key when an upstream dies', () => {
		const membership = createMembership(createMember('a'), createMember('b'), createMember('c'));
		const keys = Array.from({length: 300}, (_, at) => `key${at}`);
		const before = keys.map(key => membership.homeUpstream('s', key)!.id);
		membership.setStatus('c', 'dead', 1);
		const moved = keys.filter((key, at) => before[at] !== 'c' && membership.homeUpstream('s', key)!.id !== before[at]);
		expect(moved).toEqual([]);
	});

	it('keeps the record of a dead member until its tombstone expires', () => {
		const membership = createMembership(createMember('a', {status: 'dead'}));
		expect(membership.upstreamsEverServing('s')).toHaveLength(1);
		membership.removeTombstones(1);
		expect(membership.upstreamsEverServing('s')).toHaveLength(0);
	});
});

describe('neighbor selection', () => {
	const all = Array.from({length: 60}, (_, at) => createMember(`m${at}`, {region: at < 30 ? 'r' : 'q', failureDomain: `d${at % 4}`}));

	it('leaves no member unreachable over neighbor links', () => {
		const reached = new Set(['m0']);
		const unvisited = [all[0]];
		for (let next = unvisited.pop(); next !== undefined; next = unvisited.pop()) {
			for (const neighbor of chooseNeighbors(next, all)) {
				if (!reached.has(neighbor.id)) {
					reached.add(neighbor.id);
					unvisited.push(neighbor);
				}
			}
		}

		expect(reached.size).toBe(all.length);
	});

	it('gives no member more than six neighbors', () => {
		expect(Math.max(...all.map(one => chooseNeighbors(one, all).length))).toBeLessThanOrEqual(6);
	});

	it('elects exactly two members of each failure domain for a duty', () => {
		const holders = all.filter(one => isElectedForDuty('watch', one, all, 2));
		const domains = new Set(all.map(({region, failureDomain}) => `${region}/${failureDomain}`));
		expect(holders).toHaveLength(2 * domains.size);
	});
});

describe('ConfigStore', () => {
	it('never replaces an object by an older generation', () => {
		const store = new ConfigStore();
		expect(store.accept(createObject(2))).toBe('accepted');
		expect(store.accept(createObject(1))).toBe('older');
		expect(store.generationOf('service/s')).toBe(2);
	});

	it('tells a known version from a conflicting write of the same generation', () => {
		const store = new ConfigStore();
		store.accept(createObject(1));
		expect(store.accept(createObject(1))).toBe('known');
		expect(store.accept(createObject(1, 'other'))).toBe('conflicting');
	});

	it('computes the same digest whether or not generations were skipped', () => {
		const direct = new ConfigStore();
		direct.accept(createObject(2));
		const stepwise = new ConfigStore();
		stepwise.accept(createObject(1));
		stepwise.accept(createObject(2));
		expect(stepwise.digest).toBe(direct.digest);
	});
});
