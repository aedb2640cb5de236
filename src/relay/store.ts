/** An object as the store holds it. */
export type StoredObject = {readonly name: string; readonly revision: number; readonly value: unknown};

/** All objects of a kind, as of a revision of the store. */
export type Listing = {readonly objects: readonly StoredObject[]; readonly revision: number};

/** What happened to one object. */
export type StoreEvent = {readonly object: StoredObject; readonly isDeleted: boolean};

/** What happened to a kind after a revision. */
export type Changes = {readonly events: readonly StoreEvent[]; readonly revision: number};

/** The outside store of versioned objects. Each call ends within a bounded time, and throws a `StoreError` otherwise. */
export abstract class ObjectStore {
	abstract list(kind: string): Promise<Listing>;
	abstract get(kind: string, name: string): Promise<StoredObject>;
	/** Waits for changes after a revision, for at most `waitMs`. */
	abstract watch(kind: string, revision: number, waitMs: number): Promise<Changes>;
	/** Writes if the object is still at a revision; 0: if there is none. */
	abstract put(kind: string, name: string, value: unknown, revision: number): Promise<StoredObject>;
	abstract remove(kind: string, name: string, revision: number): Promise<void>;
	abstract close(): Promise<void>;
}
