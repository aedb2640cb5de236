import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {MemoryStore} from '../../fakes/memorystore.js';
import {SystemClock} from '../../src/clock/index.js';
import {EventLog, Logger} from '../../src/log/index.js';
import {type HostEntry} from '../../src/mesh/index.js';
import {ObjectStore, StoreError, type StoredObject} from '../../src/relay/index.js';
import {HOST_KIND, OwnEntry} from '../../src/relay/store/ownentry.js';

const entry = {host: 'h', failureDomain: 'a', address: '127.0.0.1:1'};
/** 2026-01-01 and some seconds, so that the fraction of a first revision is not 0. */
const STARTED_MS = 1_767_225_634_000;

/** Fails writes as told, and counts the reads. */
class FaultyStore extends ObjectStore {
	fault: 'none' | 'refused' | 'answer-lost' = 'none';
	reads = 0;
	writes = 0;
	readonly #view: ObjectStore;

	constructor(view: ObjectStore) {
		super();
		this.#view = view;
	}

	override async list(...args: Parameters<ObjectStore['list']>) {
		return this.#view.list(...args);
	}

	override async get(kind: string, name: string): Promise<StoredObject> {
		this.reads++;
		return this.#view.get(kind, name);
	}

	override async watch(...args: Parameters<ObjectStore['watch']>) {
		return this.#view.watch(...args);
	}

	override async put(...args: Parameters<ObjectStore['put']>): Promise<StoredObject> {
		this.writes++;
		if (this.fault === 'refused') {
			throw new StoreError('refused', 'status 503');
		}

		const stored = await this.#view.put(...args);
		if (this.fault === 'answer-lost') {
			throw new StoreError('unavailable', 'the connection was reset');
		}

		return stored;
	}

	override async remove(...args: Parameters<ObjectStore['remove']>) {
		return this.#view.remove(...args);
	}

	override async close() {
		return this.#view.close();
	}
}

let memory: MemoryStore;
let store: FaultyStore;
let ownEntry: OwnEntry;
let revisions: number[];
let copies: Array<HostEntry | undefined>;
let random: () => number;

beforeEach(() => {
	memory = new MemoryStore();
	store = new FaultyStore(memory.createView());
	revisions = [];
	copies = [];
	random = Math.random;
	ownEntry = new OwnEntry({
		store,
		log: new EventLog(new Logger('h', 'info', () => undefined), new SystemClock()),
		random: () => random(),
		startedMs: STARTED_MS,
		mayStoreBeRestored: () => memory.epoch > 0,
		events: {
			onOwnEntry(copy) {
				copies.push(copy);
			},
		},
		onVersion(_entry, revision) {
			revisions.push(revision);
		},
	});
});
afterEach(() => {
	ownEntry.close();
});

describe('a daemon\'s own entry', () => {
	it('is told to peers under the store\'s revision once it is written', async () => {
		ownEntry.publish(entry);
		await sleep(20);
		expect([revisions, memory.get(HOST_KIND, 'h').value]).toEqual([[memory.get(HOST_KIND, 'h').revision], entry]);
	});

	it('is told to peers under a revision between two of the store while the store refuses it, without a read', async () => {
		store.fault = 'refused';
		ownEntry.observe(undefined, 7);
		ownEntry.publish(entry);
		await sleep(20);
		expect([revisions.length, revisions[0] > 7 && revisions[0] < 8, store.reads]).toEqual([1, true, 0]);
	});

	it('is read after a write whose answer was lost, and not written twice', async () => {
		store.fault = 'answer-lost';
		ownEntry.publish(entry);
		await sleep(20);
		expect([revisions, store.writes, store.reads]).toEqual([[memory.get(HOST_KIND, 'h').revision], 1, 1]);
	});

	it('is waited for until the store holds it, and no longer than half a second', async () => {
		ownEntry.publish(entry);
		expect(await ownEntry.untilStored()).toBe(true);
		store.fault = 'refused';
		ownEntry.publish({...entry, failureDomain: 'b'});
		expect(await ownEntry.untilStored()).toBe(false);
	});

	describe('that is waited for', () => {
		beforeEach(() => {
			vi.useFakeTimers();
		});
		afterEach(() => {
			vi.useRealTimers();
		});

		// Guards against a leaving that is acknowledged without being stored, as the write waits out its back-off after the store has come back.
		it.each([
			{name: 'has just been lost', awayMs: 0},
			{name: 'was away for long', awayMs: 10_000},
		])('is written within the wait if the store, which $name, comes back', async ({awayMs}) => {
			const jitters = awayMs === 0 ? [0] : [];
			random = () => jitters.shift() ?? 0.99;
			memory.fault = 'down';
			ownEntry.publish(entry);
			await vi.advanceTimersByTimeAsync(awayMs);
			ownEntry.publish({...entry, failureDomain: 'b'});
			const stored = ownEntry.untilStored();
			await vi.advanceTimersByTimeAsync(100);
			memory.fault = 'none';
			await vi.advanceTimersByTimeAsync(400);
			expect(await stored).toBe(true);
		});

		it('is not written more often than after a first failure while the store refuses it', async () => {
			store.fault = 'refused';
			random = () => 0;
			ownEntry.publish(entry);
			await vi.advanceTimersByTimeAsync(10_000);
			const {writes} = store;
			const waits = Array.from({length: 20}, async () => ownEntry.untilStored());
			await vi.advanceTimersByTimeAsync(500);
			expect(await Promise.all(waits)).not.toContain(true);
			expect(store.writes - writes).toBeLessThanOrEqual(7);
			await vi.advanceTimersByTimeAsync(10_000);
			expect(store.writes - writes).toBeLessThanOrEqual(7 + 20);
		});
	});

	it('that an earlier process wrote is heard of before it is replaced, also where a stale list didn\'t show it', async () => {
		const ended = {...entry, ended: {id: 'i', bornMs: 1}};
		memory.set(HOST_KIND, 'h', ended);
		ownEntry.publish(entry);
		expect(await ownEntry.untilStored()).toBe(true);
		expect(copies).toEqual([ended]);
	});

	it('is not written again after a restart, but told to peers under a new revision', async () => {
		const {revision} = memory.set(HOST_KIND, 'h', entry);
		ownEntry.observe(entry, revision);
		ownEntry.publish(entry);
		await sleep(20);
		expect([store.writes, revisions.length, Math.floor(revisions[0])]).toEqual([0, 1, revision]);
	});

	it('is not written again after a restart while only the id of the target is known, nor when its start is', async () => {
		const target = {
			id: 'i', service: 's', slots: 4, state: 'ready',
		} as const;
		const {revision} = memory.set(HOST_KIND, 'h', {...entry, target: {...target, bornMs: 5}});
		ownEntry.observe({...entry, target: {...target, bornMs: 5}}, revision);
		ownEntry.publish({...entry, target});
		ownEntry.publish({...entry, target: {...target, bornMs: 5}});
		await sleep(20);
		expect(store.writes).toBe(0);
	});

	it('replaces the version of an earlier life that a peer tells of', async () => {
		ownEntry.publish(entry);
		await sleep(20);
		ownEntry.observe({...entry, address: '127.0.0.1:2'}, revisions[0] + 0.5);
		expect(revisions.at(-1)).toBeGreaterThan(revisions[0] + 0.5);
	});
});
