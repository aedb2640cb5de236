import {sleep} from '../src/clock/index.js';
import {
	type StoreChanges, type StoreListing, ObjectStore, StoreError, type StoredObject, type WatchOptions,
} from '../src/relay/index.js';

/** The contents of a store at one moment. */
export type StoreCopy = {readonly objects: ReadonlyMap<string, StoredObject>; readonly history: readonly HistoryRecord[]; readonly revision: number};
type HistoryRecord = {readonly kind: string; readonly object: StoredObject; readonly isDeleted: boolean};

/** A drill in which the store is away for a moment and comes back from an older copy. */
export type StoreDrill = {
	readonly copy: StoreCopy;
	/** How long the store is away, in ms. */
	readonly awayMs: number;
	/** How long after its return the operator writes again what the copy lacks, in ms. */
	readonly rewriteAfterMs: number;
};

/** The fault that a store has at present. */
export type StoreFault = 'none' | 'down' | 'lost-answers';

/** An object store in memory that all daemons of a test share; each daemon uses its own view. */
export class MemoryStore {
	fault: StoreFault = 'none';
	/** How long each read takes, in ms. */
	readMs = 0;
	callCount = 0;
	/** Rises each time that the store is restored from an older copy. */
	epoch = 0;
	readonly #objects = new Map<string, StoredObject>();
	#history: HistoryRecord[] = [];
	readonly #watchWakers = new Set<() => void>();
	/** The newest write of the operator to each object. */
	readonly #operatorWrites = new Map<string, {readonly kind: string; readonly object: StoredObject}>();
	#revision = 1;
	#compactedTo = 0;

	createView(): ObjectStore {
		return new MemoryStoreView(this);
	}

	list(kind: string): StoreListing {
		const prefix = `${kind}/`;
		const objects = [...this.#objects].filter(([key]) => key.startsWith(prefix)).map(([, object]) => object);
		return {objects, revision: this.#revision, epoch: this.epoch};
	}

	get(kind: string, name: string): StoredObject {
		const object = this.#objects.get(`${kind}/${name}`);
		if (object === undefined) {
			throw new StoreError('missing', `${kind}/${name}`);
		}

		return object;
	}

	changesSince(kind: string, revision: number): StoreChanges {
		if (revision < this.#compactedTo || revision > this.#revision) {
			throw new StoreError('compacted', `revision ${revision}`);
		}

		const events = this.#history.filter(record => record.kind === kind && record.object.revision > revision);
		return {events, revision: this.#revision, epoch: this.epoch};
	}

	/** Writes an object as the operator does, without a check of its revision. */
	set(kind: string, name: string, value: unknown): StoredObject {
		const object = this.#write(kind, name, value);
		this.#operatorWrites.set(`${kind}/${name}`, {kind, object});
		return object;
	}

	put(kind: string, name: string, value: unknown, revision: number): StoredObject {
		if ((this.#objects.get(`${kind}/${name}`)?.revision ?? 0) !== revision) {
			throw new StoreError('conflict', `${kind}/${name}`);
		}

		return this.#write(kind, name, value);
	}

	delete(kind: string, name: string): void {
		const held = this.#objects.get(`${kind}/${name}`);
		if (held !== undefined) {
			this.#objects.delete(`${kind}/${name}`);
			this.#record({kind, object: {...held, revision: ++this.#revision}, isDeleted: true});
		}
	}

	/** Drops the history, so that watches from an earlier revision fail as compacted. */
	compact(): void {
		this.#compactedTo = this.#revision;
		this.#history = [];
		this.wakeWatches();
	}

	copy(): StoreCopy {
		return {objects: new Map(this.#objects), history: [...this.#history], revision: this.#revision};
	}

	/** Restores an older copy: what was written since is lost, and its revisions are given out again. */
	restore({objects, history, revision}: StoreCopy): void {
		this.#objects.clear();
		for (const [key, object] of objects) {
			this.#objects.set(key, object);
		}

		this.#history = [...history];
		this.#revision = revision;
		this.epoch++;
		this.wakeWatches();
	}

	/** Plays a drill. Resolves when the operator has written again. */
	async drill({copy, awayMs, rewriteAfterMs}: StoreDrill): Promise<void> {
		this.fault = 'down';
		this.wakeWatches();
		await sleep(awayMs);
		const lost = [...this.#operatorWrites.values()].filter(({object}) => object.revision > copy.revision);
		this.restore(copy);
		this.fault = 'none';
		await sleep(rewriteAfterMs);
		for (const {kind, object} of lost) {
			this.set(kind, object.name, object.value);
		}
	}

	/** Ends the waits of all watches. */
	wakeWatches(): void {
		for (const wake of this.#watchWakers) {
			wake();
		}

		this.#watchWakers.clear();
	}

	async waitForChange(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, waitMs);
			timer.unref();
			this.#watchWakers.add(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	#write(kind: string, name: string, value: unknown): StoredObject {
		const object = {name, revision: ++this.#revision, value: structuredClone(value)};
		this.#objects.set(`${kind}/${name}`, object);
		this.#record({kind, object, isDeleted: false});
		return object;
	}

	#record(record: HistoryRecord): void {
		this.#history.push(record);
		this.wakeWatches();
	}
}

class MemoryStoreView extends ObjectStore {
	readonly #store: MemoryStore;
	#isClosed = false;

	constructor(store: MemoryStore) {
		super();
		this.#store = store;
	}

	override async list(kind: string): Promise<StoreListing> {
		if (this.#store.readMs > 0) {
			await sleep(this.#store.readMs);
		}

		this.#checkAvailable();
		return this.#store.list(kind);
	}

	override async get(kind: string, name: string): Promise<StoredObject> {
		if (this.#store.readMs > 0) {
			await sleep(this.#store.readMs);
		}

		this.#checkAvailable();
		return this.#store.get(kind, name);
	}

	override async watch(kind: string, revision: number, {waitMs}: WatchOptions): Promise<StoreChanges> {
		this.#checkAvailable();
		if (this.#store.changesSince(kind, revision).events.length === 0) {
			await this.#store.waitForChange(waitMs);
		}

		this.#checkAvailable();
		return this.#store.changesSince(kind, revision);
	}

	override async put(kind: string, name: string, value: unknown, revision: number): Promise<StoredObject> {
		this.#checkAvailable();
		const object = this.#store.put(kind, name, value, revision);
		if (this.#store.fault === 'lost-answers') {
			throw new StoreError('unavailable', 'the response was lost');
		}

		return object;
	}

	override async remove(kind: string, name: string, _revision: number): Promise<void> {
		this.#checkAvailable();
		this.#store.delete(kind, name);
	}

	override async close(): Promise<void> {
		this.#isClosed = true;
		this.#store.wakeWatches();
	}

	#checkAvailable(): void {
		this.#store.callCount++;
		if (this.#isClosed || this.#store.fault === 'down') {
			throw new StoreError('unavailable', 'the store is down or the view is closed');
		}
	}
}
