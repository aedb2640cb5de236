import {describe, expect, it} from 'vitest';
import {ConfigStore} from '../../src/core/configstore.js';
import {type Member, type MemberStatus} from '../../src/core/member.js';
import {Membership} from '../../src/core/membership.js';
import {isElectedForDuty, chooseNeighbors} from '../../src/core/neighbors.js';
import {type ConfigObject} from '../../src/core/spec.js';

function member(id: string, change: Partial<Member> = {}): Member {
	return {
		id, address: id, region: 'r', failureDomain: 'a', incarnation: 1, status: 'alive', service: 's', slots: 1, connections: 1, ...change,
	};
}

function membersOf(...members: Member[]): Membership {
	const membership = new Membership('r');
	for (const one of members) {
		membership.apply(one, 0);
	}

	return membership;
}

const object = (generation: number, operationId = `op${generation}`): ConfigObject => ({name: 'service/s', generation, operationId});

describe('membership', () => {
	it('reaches the same digest in any order of arrival', () => {
		const news: Member[] = [member('a'), member('a', {status: 'dead'}), member('a', {incarnation: 2}), member('b')];
		expect(membersOf(...news).digest).toBe(membersOf(...news.toReversed()).digest);
	});

	it.each<MemberStatus>(['leaving', 'left', 'dead'])('sends nothing to a member that is %s', status => {
		expect(membersOf(member('a', {status})).servingUpstreams('s')).toEqual([]);
	});

	it('takes a member back only under a higher incarnation', () => {
		const membership = membersOf(member('a', {status: 'dead'}));
		expect(membership.apply(member('a'), 1)).toBe(false);
		expect(membership.apply(member('a', {incarnation: 2}), 1)).toBe(true);
		expect(membership.servingUpstreams('s')).toHaveLength(1);
	});

	it('prefers its own region and falls back to others', () => {
		const membership = membersOf(member('far', {region: 'q'}));
		expect(membership.servingUpstreams('s').map(({id}) => id)).toEqual(['far']);
		membership.apply(member('near'), 0);
		expect(membership.servingUpstreams('s').map(({id}) => id)).toEqual(['near']);
	});

	it('moves few keys when an upstream goes', () => {
		const membership = membersOf(member('a'), member('b'), member('c'));
		const keys = Array.from({length: 300}, (_, at) => `key${at}`);
		const before = keys.map(key => membership.homeUpstream('s', key)!.id);
		membership.setStatus('c', 'dead', 1);
		const moved = keys.filter((key, at) => before[at] !== 'c' && membership.homeUpstream('s', key)!.id !== before[at]);
		expect(moved).toEqual([]);
	});

	it('remembers an ended member until it expires', () => {
		const membership = membersOf(member('a', {status: 'dead'}));
		expect(membership.upstreamsEverServing('s')).toHaveLength(1);
		membership.removeTombstones(1);
		expect(membership.upstreamsEverServing('s')).toHaveLength(0);
	});
});

describe('the mesh', () => {
	const all = Array.from({length: 60}, (_, at) => member(`m${at}`, {region: at < 30 ? 'r' : 'q', failureDomain: `d${at % 4}`}));

	it('connects every member to every other', () => {
		const reached = new Set(['m0']);
		const open = [all[0]];
		for (let next = open.pop(); next !== undefined; next = open.pop()) {
			for (const neighbor of chooseNeighbors(next, all)) {
				if (!reached.has(neighbor.id)) {
					reached.add(neighbor.id);
					open.push(neighbor);
				}
			}
		}

		expect(reached.size).toBe(all.length);
	});

	it('stays sparse', () => {
		expect(Math.max(...all.map(one => chooseNeighbors(one, all).length))).toBeLessThanOrEqual(6);
	});

	it('gives a duty to two of each failure domain', () => {
		const holders = all.filter(one => isElectedForDuty('watch', one, all, 2));
		const domains = new Set(all.map(({region, failureDomain}) => `${region}/${failureDomain}`));
		expect(holders).toHaveLength(2 * domains.size);
	});
});

describe('the configuration store', () => {
	it('never goes back to an older generation', () => {
		const store = new ConfigStore();
		expect(store.accept(object(2))).toBe('accepted');
		expect(store.accept(object(1))).toBe('older');
		expect(store.generationOf('service/s')).toBe(2);
	});

	it('tells a known version from a conflicting one', () => {
		const store = new ConfigStore();
		store.accept(object(1));
		expect(store.accept(object(1))).toBe('known');
		expect(store.accept(object(1, 'other'))).toBe('conflicting');
	});

	it('has a digest that depends on generations only', () => {
		const direct = new ConfigStore();
		direct.accept(object(2));
		const stepwise = new ConfigStore();
		stepwise.accept(object(1));
		stepwise.accept(object(2));
		expect(stepwise.digest).toBe(direct.digest);
	});
});
