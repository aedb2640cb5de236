/** An object as the store holds it. */
export type StoredObject = {readonly name: string; readonly revision: number; readonly value: unknown};

/** How a watch waits: for how long at most, in ms, and for what. */
export type WatchOptions = {readonly waitMs: number; readonly freshness: Freshness};

/** All objects of a kind, as of a revision of the store. */
export type StoreListing = {readonly objects: readonly StoredObject[]; readonly revision: number};

/** What happened to one object. */
export type StoreEvent = {readonly object: StoredObject; readonly isDeleted: boolean};

/** What happened to a kind after a revision. */
export type StoreChanges = {readonly events: readonly StoreEvent[]; readonly revision: number};

/** Whether an answer must be the newest, or may be some seconds old, which costs the store less. */
export type Freshness = 'fresh' | 'stale';

/** The outside store of versioned objects. Each call ends within a bounded time, and throws a `StoreError` otherwise. */
export abstract class ObjectStore {
	abstract list(kind: string, freshness: Freshness): Promise<StoreListing>;
	abstract get(kind: string, name: string): Promise<StoredObject>;
	/** Waits for changes after a revision, for a time. */
	abstract watch(kind: string, revision: number, options: WatchOptions): Promise<StoreChanges>;
	/** Writes if the object is still at a revision; 0: if there is none. */
	abstract put(kind: string, name: string, value: unknown, revision: number): Promise<StoredObject>;
	abstract remove(kind: string, name: string, revision: number): Promise<void>;
	abstract close(): Promise<void>;
}
