import {setTimeout as sleep} from 'node:timers/promises';
import {isDeepStrictEqual} from 'node:util';
import {type Clock} from '../clock/index.js';
import {type EventLog} from '../log/index.js';
import {type HostEntry, type HostTable, Site} from '../mesh/index.js';
import {type Adapter} from './adapter.js';
import {StoreError} from './error.js';
import {decodeHostEntry} from './hostentry.js';
import {
	type StoreChanges, type Freshness, type ObjectStore, type StoredObject,
} from './store.js';

/** The kind of the daemons' entries in the store. */
export const HOST_KIND = 'comfreydyke-hosts';
/**
 * A delay in ms that grows with the number of hosts, between a minimum and a
 * maximum. Without the growth, the calls of all daemons to the store would
 * grow with the square of the number of hosts.
 */
type ScaledDelay = {readonly perHostMs: number; readonly minMs: number; readonly maxMs: number};
/**
 * Limits how long one watch for configurations waits. After an outage one of
 * all daemons' watches ends soon, and its daemon tells the others. The maximum
 * is the longest wait that the store allows.
 */
const SITE_WATCH_TIMEOUT: ScaledDelay = {perHostMs: 1000, minMs: 4000, maxMs: 30_000};
/** Limits how long one watch for hosts waits; a change of a known host shows sooner on its link. */
const HOST_WATCH_TIMEOUT: ScaledDelay = {perHostMs: 500, minMs: 6000, maxMs: 15_000};
/** The shortest wait of a watch, in ms; waits are random above it, so that watches that began together end at different times. */
const MIN_WATCH_MS = 2000;
/** The pause before the next watch for configurations, so that changes in quick succession cost one call to the store. */
const SITE_WATCH_PAUSE: ScaledDelay = {perHostMs: 1, minMs: 20, maxMs: 250};
/** The pause before the next watch for hosts; it is longer because learning of a host late costs little. */
const HOST_WATCH_PAUSE: ScaledDelay = {perHostMs: 5, minMs: 200, maxMs: 2000};
/** The back-off after the first failed call to the store, in ms; it doubles up to `MAX_BACKOFF_MS`. */
const INITIAL_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1000;

type WatchedKind = {
	readonly kind: string;
	readonly freshness: Freshness;
	readonly watchTimeout: ScaledDelay;
	readonly watchPause: ScaledDelay;
	readonly onListing: (objects: readonly StoredObject[], revision: number) => void;
	readonly onChanges: (changes: StoreChanges) => void;
};

/** Receives the changes that the directory finds. */
export abstract class DirectoryEvents {
	abstract onSite(site: Site): void;
	abstract onHost(entry: HostEntry): void;
	abstract onHostRemoved(host: string): void;
}

export type DirectoryParts = {
	readonly adapter: Adapter;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly events: DirectoryEvents;
	readonly host: string;
	readonly random: () => number;
};

/** Mirrors the store in memory: the configuration and the entries of the other daemons. Writes this daemon's own entry. */
export class Directory {
	readonly #parts: DirectoryParts;
	readonly #store: ObjectStore;
	#site: Site | undefined;
	#siteValue: unknown;
	#ownEntry: HostEntry | undefined;
	#ownRevision = 0;
	#isWriting = false;
	#isClosed = false;
	#isStoreUp = true;

	constructor(parts: DirectoryParts) {
		this.#parts = parts;
		this.#store = parts.adapter.store;
	}

	/** The configuration as the store sent it, undecoded, for peers that don't have it. */
	get siteValue(): unknown {
		return this.#siteValue;
	}

	get site(): Site | undefined {
		return this.#site;
	}

	start(): void {
		const {configuration} = this.#parts.adapter;
		void this.#watchKind({
			kind: configuration.kind,
			freshness: 'fresh',
			watchTimeout: SITE_WATCH_TIMEOUT,
			watchPause: SITE_WATCH_PAUSE,
			onListing: objects => {
				for (const object of objects) {
					this.#applySite(object);
				}
			},
			onChanges: ({events}) => {
				for (const {object, isDeleted} of events) {
					if (!isDeleted) {
						this.#applySite(object);
					}
				}
			},
		});
		void this.#watchKind({
			kind: HOST_KIND,
			freshness: 'stale',
			watchTimeout: HOST_WATCH_TIMEOUT,
			watchPause: HOST_WATCH_PAUSE,
			onListing: (objects, revision) => {
				this.#parts.hosts.reconcile(new Set(objects.map(({name}) => name)), revision, this.#parts.clock.nowMs());
				if (!objects.some(({name}) => name === this.#parts.host)) {
					this.#onOwnEntryLost();
				}

				for (const object of objects) {
					this.#applyHost(object);
				}
			},
			onChanges: ({events}) => {
				for (const {object, isDeleted} of events) {
					if (isDeleted) {
						this.#onDeleted(object);
					} else {
						this.#applyHost(object);
					}
				}
			},
		});
	}

	/** Writes this daemon's entry to the store, as soon as the store can be reached. */
	publish(entry: HostEntry): void {
		if (isDeepStrictEqual(entry, this.#ownEntry)) {
			return;
		}

		this.#ownEntry = entry;
		this.#parts.hosts.putOwn(entry);
		void this.#writeOwnEntry();
	}

	/** Applies a configuration from a peer if it is newer than the one in force. */
	offerSite(revision: number, value: unknown): void {
		const {configuration} = this.#parts.adapter;
		this.#applySite({name: configuration.name, revision, value});
	}

	/** Adds a host that a peer knows, for when this daemon can't reach the store. Revision 1 lets any later entry of the store replace it. */
	offerHost(entry: HostEntry): void {
		if (this.#parts.hosts.put(entry, 1)) {
			this.#parts.events.onHost(entry);
		}
	}

	/** Removes the entry of a host that is gone for good from the store, unless it has been written in the meantime. */
	async removeEntry(host: string): Promise<void> {
		const {hosts, log} = this.#parts;
		const revision = hosts.revisionOf(host);
		if (revision === undefined || this.#isClosed) {
			return;
		}

		try {
			await this.#store.remove(HOST_KIND, host, revision);
			log.event('host_collected', {host, revision});
		} catch (error) {
			log.event('host_uncollected', {host, revision, reason: (error as Error).message});
		}
	}

	/** Removes the hosts whose entries were deleted from the store and not written again within the grace period. */
	removeDeletedHosts(): void {
		for (const host of this.#parts.hosts.removeDeleted(this.#parts.clock.nowMs())) {
			this.#parts.log.event('host_gone', {host});
			this.#parts.events.onHostRemoved(host);
		}
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		await this.#store.close();
	}

	async #watchKind(watched: WatchedKind): Promise<void> {
		let revision: number | undefined;
		let backoffMs = INITIAL_BACKOFF_MS;
		// A stale answer can be older than the history that the store still has, so the next call asks for a fresh one.
		let needsFreshAnswer = false;
		while (!this.#isClosed) {
			const freshness = needsFreshAnswer ? 'fresh' : watched.freshness;
			try {
				if (revision === undefined) {
					// eslint-disable-next-line no-await-in-loop -- each call needs the result of the one before
					const listing = await this.#store.list(watched.kind, freshness);
					revision = listing.revision;
					watched.onListing(listing.objects, listing.revision);
				} else {
					// eslint-disable-next-line no-await-in-loop -- each call needs the result of the one before
					const changes = await this.#store.watch(watched.kind, revision, {waitMs: this.#chooseWatchTimeoutMs(watched.watchTimeout), freshness});
					needsFreshAnswer = false;
					backoffMs = INITIAL_BACKOFF_MS;
					revision = Math.max(revision, changes.revision);
					watched.onChanges(changes);
					if (changes.events.length > 0) {
						// eslint-disable-next-line no-await-in-loop -- lets changes in quick succession arrive in one answer
						await sleep(this.#scaleToFleetMs(watched.watchPause));
					}
				}

				this.#recordStoreState(true, watched.kind);
			} catch (error) {
				const isCompacted = error instanceof StoreError && error.kind === 'compacted';
				if (isCompacted) {
					this.#parts.log.event('store_history_gone', {kind: watched.kind, revision: revision ?? 0});
				} else {
					this.#recordStoreState(false, watched.kind, error as Error);
				}

				const waitMs = isCompacted && !needsFreshAnswer ? 0 : backoffMs * (0.5 + this.#parts.random());
				needsFreshAnswer = isCompacted;
				revision = undefined;
				// eslint-disable-next-line no-await-in-loop -- backs off before it asks again
				await sleep(waitMs);
				backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
			}
		}
	}

	#chooseWatchTimeoutMs(delay: ScaledDelay): number {
		return MIN_WATCH_MS + ((this.#scaleToFleetMs(delay) - MIN_WATCH_MS) * this.#parts.random());
	}

	#scaleToFleetMs({perHostMs, minMs, maxMs}: ScaledDelay): number {
		return Math.min(maxMs, Math.max(minMs, perHostMs * this.#parts.hosts.size));
	}

	#recordStoreState(isUp: boolean, kind: string, error?: Error): void {
		if (error !== undefined) {
			this.#parts.log.registry.count('store_errors', {kind: error instanceof StoreError ? error.kind : 'unexpected'});
		}

		if (this.#isClosed || isUp === this.#isStoreUp) {
			return;
		}

		this.#isStoreUp = isUp;
		if (isUp) {
			this.#parts.log.event('store_regained', {kind});
			void this.#writeOwnEntry();
		} else {
			this.#parts.log.warn('store_lost', {kind, reason: error?.message ?? '', siteRevision: this.#site?.revision ?? 0});
		}
	}

	#applySite(object: StoredObject): void {
		const {adapter, log, events} = this.#parts;
		if (object.name !== adapter.configuration.name || object.revision <= (this.#site?.revision ?? 0)) {
			return;
		}

		try {
			const site = new Site(object.revision, adapter.decodeSite(object.value));
			this.#site = site;
			this.#siteValue = object.value;
			log.event('site_in_force', {revision: site.revision, version: site.spec.version, routes: site.spec.routes.length});
			events.onSite(site);
		} catch (error) {
			log.warn('site_rejected', {revision: object.revision, reason: (error as Error).message});
		}
	}

	#applyHost(object: StoredObject): void {
		if (object.name === this.#parts.host) {
			this.#ownRevision = Math.max(this.#ownRevision, object.revision);
			if (this.#ownEntry !== undefined && !isDeepStrictEqual(object.value, this.#ownEntry)) {
				void this.#writeOwnEntry();
			}

			return;
		}

		try {
			const entry = decodeHostEntry(object.value);
			if (entry.host === object.name && this.#parts.hosts.put(entry, object.revision)) {
				this.#parts.log.event('host_learned', {
					host: entry.host, instance: entry.target?.id ?? '', service: entry.target?.service ?? '', state: entry.target?.state ?? 'none', revision: object.revision,
				});
				this.#parts.events.onHost(entry);
			}
		} catch (error) {
			this.#parts.log.warn('host_rejected', {name: object.name, reason: (error as Error).message});
		}
	}

	#onDeleted(object: StoredObject): void {
		if (object.name === this.#parts.host) {
			this.#onOwnEntryLost();
		} else {
			this.#parts.hosts.markDeleted(object.name, object.revision, this.#parts.clock.nowMs());
		}
	}

	#onOwnEntryLost(): void {
		if (this.#ownRevision > 0) {
			this.#parts.log.warn('own_entry_lapsed', {revision: this.#ownRevision});
		}

		this.#ownRevision = 0;
		void this.#writeOwnEntry();
	}

	async #writeOwnEntry(): Promise<void> {
		if (this.#isWriting || this.#isClosed) {
			return;
		}

		this.#isWriting = true;
		let backoffMs = INITIAL_BACKOFF_MS;
		let written: HostEntry | undefined;
		while (!this.#isClosed && this.#ownEntry !== undefined && written !== this.#ownEntry) {
			const entry = this.#ownEntry;
			try {
				// eslint-disable-next-line no-await-in-loop -- one write at a time keeps the writes in order
				const stored = await this.#store.put(HOST_KIND, entry.host, entry, this.#ownRevision);
				this.#ownRevision = stored.revision;
				written = entry;
			} catch (error) {
				const kind = error instanceof StoreError ? error.kind : 'unavailable';
				this.#parts.log.event('own_entry_unwritten', {reason: (error as Error).message, kind});
				// eslint-disable-next-line no-await-in-loop -- a write whose answer was lost may have succeeded
				written = await this.#readOwnRevision(entry);
				if (written === undefined && kind !== 'conflict') {
					// eslint-disable-next-line no-await-in-loop -- backs off before it writes again
					await sleep(backoffMs * (0.5 + this.#parts.random()));
					backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
				}
			}
		}

		this.#isWriting = false;
	}

	/** Reads the revision of this daemon's own entry from the store. @returns the entry, if the store already holds exactly it */
	async #readOwnRevision(entry: HostEntry): Promise<HostEntry | undefined> {
		try {
			const stored = await this.#store.get(HOST_KIND, entry.host);
			this.#ownRevision = stored.revision;
			return isDeepStrictEqual(stored.value, entry) ? entry : undefined;
		} catch (error) {
			if (error instanceof StoreError && error.kind === 'missing') {
				this.#ownRevision = 0;
			} else {
				this.#parts.log.event('own_entry_unread', {reason: (error as Error).message});
			}

			return undefined;
		}
	}
}
