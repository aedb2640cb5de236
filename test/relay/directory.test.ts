import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {SystemClock} from '../../src/clock/index.js';
import {EventLog, Logger} from '../../src/log/index.js';
import {HostTable} from '../../src/mesh/index.js';
import {Directory} from '../../src/relay/store/directory.js';
import {DirectoryEvents} from '../../src/relay/store/directoryevents.js';
import {
	type StoreChanges, type Freshness, type StoreListing, ObjectStore, StoreError, type StoredObject, type WatchOptions,
} from '../../src/relay/index.js';
import {MeshAdapter} from '../../standins/meshadapter.js';

/** A store whose stale answers are older than the history that it still has. */
class LaggingStore extends ObjectStore {
	calls = 0;
	staleLists = 0;
	maxWaitMs = Number.POSITIVE_INFINITY;
	readonly removed: Array<[string, number]> = [];

	override async list(_kind: string, freshness: Freshness): Promise<StoreListing> {
		this.calls++;
		this.staleLists += freshness === 'stale' ? 1 : 0;
		return {objects: [], revision: freshness === 'fresh' ? 10 : 3, epoch: 1};
	}

	override async watch(_kind: string, revision: number, {waitMs}: WatchOptions): Promise<StoreChanges> {
		this.calls++;
		if (revision < 10) {
			throw new StoreError('compacted', 'history is gone');
		}

		await sleep(Math.min(waitMs, this.maxWaitMs), undefined, {ref: false});
		return {events: [], revision, epoch: 1};
	}

	override async get(): Promise<StoredObject> {
		throw new StoreError('missing', 'none');
	}

	override async put(_kind: string, name: string, value: unknown): Promise<StoredObject> {
		return {name, revision: 11, value};
	}

	override async remove(_kind: string, name: string, revision: number): Promise<void> {
		this.removed.push([name, revision]);
	}

	override async close(): Promise<void> {
		this.calls = 0;
	}
}

/** A store that was restored from an older copy, and whose stale answers are from before. */
class RestoredStore extends LaggingStore {
	override async list(kind: string, freshness: Freshness): Promise<StoreListing> {
		const listing = await super.list(kind, freshness);
		return {...listing, revision: 10, epoch: freshness === 'fresh' ? 2 : 1};
	}

	override async watch(...args: Parameters<ObjectStore['watch']>): Promise<StoreChanges> {
		const changes = await super.watch(...args);
		return {...changes, epoch: 2};
	}
}

class EventCounter extends DirectoryEvents {
	seen = 0;

	override onSite(): void {
		this.seen++;
	}

	override onHost(): void {
		this.seen++;
	}

	override onHostRemoved(): void {
		this.seen++;
	}

	override onConfirmed(): void {
		this.seen++;
	}

	override onStoreRestored(): void {
		this.seen++;
	}

	override onOwnEntry(): void {
		this.seen++;
	}

	override onRecords(): void {
		this.seen++;
	}
}

const hosts = new HostTable(2000);
const createDirectory = (store: ObjectStore) => {
	const clock = new SystemClock();
	return new Directory({
		adapter: new MeshAdapter(store), clock, log: new EventLog(new Logger('d', 'info', () => undefined), clock), hosts, events: new EventCounter(), host: 'h', configMs: 2000, settlingMs: 0, random: Math.random, electWatchers: () => ({isElected: true, count: 1}),
	});
};

let directory: Directory;
afterEach(async () => {
	await directory.close();
});

describe('a directory', () => {
	it('asks for a fresh list after a stale one was older than the store\'s history, instead of looping on stale lists', async () => {
		const store = new LaggingStore();
		directory = createDirectory(store);
		directory.start();
		await sleep(300);
		// The configuration takes one list and one watch; the hosts take both twice, first stale and compacted, then fresh.
		expect(store.calls).toBe(6);
	});

	it('asks for a fresh list after the store was restored from an older copy, instead of looping on stale lists', async () => {
		const store = new RestoredStore();
		store.maxWaitMs = 10;
		directory = createDirectory(store);
		directory.start();
		await sleep(300);
		expect(store.staleLists).toBe(1);
	});

	it('removes the entry of a host that is gone only at the revision that it knows, and no entry that it doesn\'t know', async () => {
		const store = new LaggingStore();
		directory = createDirectory(store);
		hosts.put({host: 'gone', failureDomain: 'a', address: '127.0.0.1:1'}, 7);
		await directory.removeEntry('gone');
		await directory.removeEntry('unknown');
		expect(store.removed).toEqual([['gone', 7]]);
	});
});
