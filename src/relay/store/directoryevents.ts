import {type HostEntry, type HostRecord, type Site} from '../../mesh/index.js';

/** Receives the changes that the directory finds. */
export abstract class DirectoryEvents {
	abstract onSite(site: Site): void;
	abstract onHost(entry: HostEntry): void;
	abstract onHostRemoved(host: string): void;
	/** Called when the store has confirmed the configuration, so that peers hear of it. */
	abstract onConfirmed(): void;
	/** Called when the store was restored from an older copy, so that peers hear of it. */
	abstract onStoreRestored(): void;
	/** Called with this daemon's own entry as the store or a peer holds it; undefined if the store holds none. */
	abstract onOwnEntry(entry: HostEntry | undefined): void;
	/** Called with versions of entries that didn't come from a peer, so that peers hear of them. */
	abstract onRecords(records: readonly HostRecord[]): void;
}
