/** An object in the store, with the revision of its last write. */
export type StoredObject = {readonly name: string; readonly revision: number; readonly value: unknown};

/** Options of a watch: the longest wait in ms, and how recent the answer must be. */
export type WatchOptions = {readonly waitMs: number; readonly freshness: Freshness};

/**
 * The number of times that the store was restored from an older copy. What was written after the
 * copy is lost then, and its revisions are given out again.
 */
export type StoreEpoch = number;

/** All objects of a kind at a revision of the store. */
export type StoreListing = {readonly objects: readonly StoredObject[]; readonly revision: number; readonly epoch: StoreEpoch};

/** A write or deletion of one object. */
export type StoreEvent = {readonly object: StoredObject; readonly isDeleted: boolean};

/** The events of a kind after a revision, up to `revision`. */
export type StoreChanges = {readonly events: readonly StoreEvent[]; readonly revision: number; readonly epoch: StoreEpoch};

/** Tells whether an answer must be current ('fresh') or may be some seconds old ('stale'), which costs the store less. */
export type Freshness = 'fresh' | 'stale';

/** A client of the external store of versioned objects. Each call ends within a bounded time; it throws a `StoreError` when it fails. */
export abstract class ObjectStore {
	abstract list(kind: string, freshness: Freshness): Promise<StoreListing>;
	abstract get(kind: string, name: string): Promise<StoredObject>;
	/** Waits until there are changes after a revision, or until `options.waitMs` is over. */
	abstract watch(kind: string, revision: number, options: WatchOptions): Promise<StoreChanges>;
	/** Writes the object if its revision is still `revision`, or with 0 if it doesn't exist. @throws {StoreError} of kind 'conflict' otherwise */
	abstract put(kind: string, name: string, value: unknown, revision: number): Promise<StoredObject>;
	abstract remove(kind: string, name: string, revision: number): Promise<void>;
	abstract close(): Promise<void>;
}
