import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {PlatformStore} from '../../platform/store.js';
import {StoreStandin} from '../../standins/store.js';

const KIND = 'things';
let standin: StoreStandin;
let store: PlatformStore;

beforeEach(async () => {
	standin = new StoreStandin();
	await standin.listen();
	store = new PlatformStore(standin.address);
});

afterEach(async () => {
	await store.close();
	standin.close();
});

const errorKindOf = async (call: Promise<unknown>) => {
	try {
		await call;
		return 'none';
	} catch (error) {
		return (error as {kind: string}).kind;
	}
};

describe('the client of the platform\'s store', () => {
	it('creates, replaces and removes an object, and reports a conflict for a wrong revision', async () => {
		const made = await store.put(KIND, 'a', {x: 1}, 0);
		expect(await errorKindOf(store.put(KIND, 'a', {x: 2}, 0))).toBe('conflict');
		expect(await errorKindOf(store.put(KIND, 'a', {x: 2}, made.revision + 1))).toBe('conflict');
		const changed = await store.put(KIND, 'a', {x: 2}, made.revision);
		expect(await store.get(KIND, 'a')).toEqual({name: 'a', revision: changed.revision, value: {x: 2}});
		await store.remove(KIND, 'a', changed.revision);
		expect(await errorKindOf(store.get(KIND, 'a'))).toBe('missing');
	});

	it('lists all objects when the list spans several pages', async () => {
		standin.pageSize = 2;
		for (const name of ['a', 'b', 'c', 'd', 'e']) {
			standin.put(KIND, name, {name});
		}

		const {objects} = await store.list(KIND, 'fresh');
		expect(objects.map(({name}) => name)).toEqual(['a', 'b', 'c', 'd', 'e']);
	});

	it('lists the objects behind a page of which it can read none', async () => {
		standin.pageSize = 2;
		for (const name of ['a', 'b', 'c']) {
			standin.put(KIND, name, {name});
		}

		standin.corrupt(KIND, 'a');
		standin.corrupt(KIND, 'b');
		const {objects} = await store.list(KIND, 'fresh');
		expect(objects.map(({name}) => name)).toEqual(['c']);
	});

	// Guards against one object of another writer for which the others aren't read, in all that the store answers.
	it.each([
		['nested arrays', `${'['.repeat(500_000)}${']'.repeat(500_000)}`],
		['nested objects', `{"host":"b","target":${'{"a":'.repeat(170_000)}1${'}'.repeat(170_000)}}`],
		['numbers without end', '{"bornMs":1e400,"slots":-1e400,"seq":123456789012345678901234567890}'],
		['odd keys', String.raw`{"__proto__":{"host":"a"},"constructor":1,"":"\u0000\n"}`],
		['a long text', `"${'x'.repeat(1_000_000)}"`],
	])('reads the objects around one with %s in lists, pages, changes and by name', async (_part, text) => {
		standin.pageSize = 2;
		standin.put(KIND, 'a', 1);
		const {revision} = await store.list(KIND, 'fresh');
		const odd = standin.putText(KIND, 'b', text);
		for (const name of ['c', 'd']) {
			standin.put(KIND, name, 1);
		}

		const {objects} = await store.list(KIND, 'fresh');
		expect(objects.map(({name}) => name)).toEqual(['a', 'b', 'c', 'd']);
		const {events} = await store.watch(KIND, revision, {waitMs: 2000, freshness: 'fresh'});
		expect(events.map(({object: {name}}) => name)).toEqual(['b', 'c', 'd']);
		const {revision: oddRevision} = await store.get(KIND, 'b');
		expect(oddRevision).toBe(odd.metadata.revision);
		expect(await errorKindOf(store.put(KIND, 'b', {x: 2}, oddRevision + 1))).toBe('conflict');
		await store.put(KIND, 'b', {x: 2}, oddRevision);
		expect(await store.get(KIND, 'b')).toMatchObject({value: {x: 2}});
	});

	it('reports changes after a revision, and that the history was compacted', async () => {
		const {revision} = await store.list(KIND, 'fresh');
		const waiting = store.watch(KIND, revision, {waitMs: 2000, freshness: 'fresh'});
		await sleep(20);
		standin.put(KIND, 'a', {x: 1});
		const {events, revision: next} = await waiting;
		expect(events.map(({object, isDeleted}) => [object.name, isDeleted])).toEqual([['a', false]]);
		standin.put(KIND, 'b', {});
		standin.compact();
		expect(await errorKindOf(store.watch(KIND, next, {waitMs: 100, freshness: 'fresh'}))).toBe('compacted');
	});

	it('rounds a wait time that is not a whole number of ms', async () => {
		const {events} = await store.watch(KIND, 1, {waitMs: 1.5, freshness: 'fresh'});
		expect(events).toEqual([]);
	});

	it('requests stale data only where the caller allows it, as that costs the store less', async () => {
		const {revision} = await store.list(KIND, 'stale');
		await store.watch(KIND, revision, {waitMs: 1, freshness: 'stale'});
		await store.list(KIND, 'fresh');
		await store.watch(KIND, revision, {waitMs: 1, freshness: 'fresh'});
		expect([standin.requestCount, standin.staleReadCount]).toEqual([4, 2]);
	});

	it.each([
		['refuse', 'refused'],
		['lose-answer', 'unavailable'],
		['garble', 'malformed'],
		['silent', 'unavailable'],
	] as const)('ends a call in time when the store has the fault "%s", with error kind %s', async (fault, kind) => {
		standin.fault = fault;
		expect(await errorKindOf(fault === 'lose-answer' ? store.put(KIND, 'a', {}, 0) : store.list(KIND, 'fresh'))).toBe(kind);
	});

	it('finds an object whose write took effect although the response was lost', async () => {
		standin.fault = 'lose-answer';
		await errorKindOf(store.put(KIND, 'a', {x: 1}, 0));
		standin.fault = 'none';
		expect(await store.get(KIND, 'a')).toMatchObject({value: {x: 1}});
	});
});

describe('the epoch of the platform\'s store', () => {
	it('comes with each listing and each change', async () => {
		standin.epoch = '7';
		standin.put(KIND, 'a', 1);
		const {epoch, revision} = await store.list(KIND, 'fresh');
		const watch = await store.watch(KIND, revision - 1, {waitMs: 100, freshness: 'fresh'});
		expect([epoch, watch.epoch]).toEqual([7, 7]);
	});

	it('is 0 if the store names none, and anything but a whole number is malformed', async () => {
		const {epoch} = await store.list(KIND, 'fresh');
		expect(epoch).toBe(0);
		standin.epoch = 'second';
		expect(await errorKindOf(store.list(KIND, 'fresh'))).toBe('malformed');
	});

	it('must be the same on all pages of a list', async () => {
		standin.pageSize = 1;
		standin.epoch = '7';
		standin.put(KIND, 'a', 1);
		standin.put(KIND, 'b', 1);
		const listing = errorKindOf(store.list(KIND, 'fresh'));
		await standin.answered();
		standin.epoch = '8';
		expect(await listing).toBe('compacted');
	});

	it('makes a watch fail whose revision the store doesn\'t have', async () => {
		expect(await errorKindOf(store.watch(KIND, 1000, {waitMs: 100, freshness: 'fresh'}))).toBe('compacted');
	});
});
