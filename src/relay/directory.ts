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

/** The kind under which the daemons' entries lie in the store. */
export const HOST_KIND = 'comfreydyke-hosts';
/** Waits in ms that grow with the fleet, so that its calls to the store don't grow with its square: for each host, least, most. */
type Pace = {readonly perHostMs: number; readonly leastMs: number; readonly mostMs: number};
/**
 * How long one watch for configurations waits at most: of all daemons' watches
 * one ends soon after an outage, and its daemon tells the others. No longer
 * than the store lets any watch wait.
 */
const SITE_WATCH: Pace = {perHostMs: 1000, leastMs: 4000, mostMs: 30_000};
/** The same for hosts; links find out sooner what became of a known one. */
const HOST_WATCH: Pace = {perHostMs: 500, leastMs: 6000, mostMs: 15_000};
/** The shortest wait of a watch, in ms: watches that began together end one by one. */
const WATCH_LEAST_MS = 2000;
/** The pause before the next watch for configurations, so that changes that come together cost one call. */
const SITE_PAUSE: Pace = {perHostMs: 1, leastMs: 20, mostMs: 250};
/** The same for hosts: a host that isn't known yet costs little. */
const HOST_PAUSE: Pace = {perHostMs: 5, leastMs: 200, mostMs: 2000};
/** The wait after a failed call to the store, in ms; it doubles up to the longest. */
const BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1000;

type Follower = {
	readonly kind: string;
	readonly freshness: Freshness;
	readonly watch: Pace;
	readonly pause: Pace;
	readonly replace: (objects: readonly StoredObject[], revision: number) => void;
	readonly change: (changes: StoreChanges) => void;
};

/** What the directory tells its daemon. */
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

/** Keeps what the store holds at hand: the configuration, the other daemons, and this daemon's own entry. */
export class Directory {
	readonly #parts: DirectoryParts;
	readonly #store: ObjectStore;
	#site: Site | undefined;
	#siteValue: unknown;
	#wanted: HostEntry | undefined;
	#ownRevision = 0;
	#isWriting = false;
	#isClosed = false;
	#isStoreUp = true;

	constructor(parts: DirectoryParts) {
		this.#parts = parts;
		this.#store = parts.adapter.store;
	}

	/** The configuration as the store gave it, to pass on to a peer that lacks it. */
	get siteValue(): unknown {
		return this.#siteValue;
	}

	get site(): Site | undefined {
		return this.#site;
	}

	start(): void {
		const {configuration} = this.#parts.adapter;
		void this.#follow({
			kind: configuration.kind,
			freshness: 'fresh',
			watch: SITE_WATCH,
			pause: SITE_PAUSE,
			replace: objects => {
				for (const object of objects) {
					this.#takeSite(object);
				}
			},
			change: ({events}) => {
				for (const {object, isDeleted} of events) {
					if (!isDeleted) {
						this.#takeSite(object);
					}
				}
			},
		});
		void this.#follow({
			kind: HOST_KIND,
			freshness: 'stale',
			watch: HOST_WATCH,
			pause: HOST_PAUSE,
			replace: (objects, revision) => {
				this.#parts.hosts.reconcile(new Set(objects.map(({name}) => name)), revision, this.#parts.clock.nowMs());
				if (!objects.some(({name}) => name === this.#parts.host)) {
					this.#onOwnLapsed();
				}

				for (const object of objects) {
					this.#takeHost(object);
				}
			},
			change: ({events}) => {
				for (const {object, isDeleted} of events) {
					if (isDeleted) {
						this.#onDeleted(object);
					} else {
						this.#takeHost(object);
					}
				}
			},
		});
	}

	/** Makes the store's entry of this daemon say this, as soon as the store can be reached. */
	publish(entry: HostEntry): void {
		if (isDeepStrictEqual(entry, this.#wanted)) {
			return;
		}

		this.#wanted = entry;
		this.#parts.hosts.putOwn(entry);
		void this.#write();
	}

	/** A configuration that a peer holds. It is taken if it is newer. */
	offerSite(revision: number, value: unknown): void {
		const {configuration} = this.#parts.adapter;
		this.#takeSite({name: configuration.name, revision, value});
	}

	/** A host that a peer knows, for a daemon that can't ask the store. */
	offerHost(entry: HostEntry): void {
		if (this.#parts.hosts.put(entry, 1)) {
			this.#parts.events.onHost(entry);
		}
	}

	/** Takes the entry of a host that is gone for good out of the store, if nobody has written it meanwhile. */
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

	/** Takes out the hosts whose entries lapsed and didn't return. */
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

	async #follow(follower: Follower): Promise<void> {
		let revision: number | undefined;
		let backoffMs = BACKOFF_MS;
		// Data that may be old can be older than the history that is left.
		let isBehind = false;
		while (!this.#isClosed) {
			const freshness = isBehind ? 'fresh' : follower.freshness;
			try {
				if (revision === undefined) {
					// eslint-disable-next-line no-await-in-loop -- each call needs the one before
					const listing = await this.#store.list(follower.kind, freshness);
					revision = listing.revision;
					follower.replace(listing.objects, listing.revision);
				} else {
					// eslint-disable-next-line no-await-in-loop -- each call needs the one before
					const changes = await this.#store.watch(follower.kind, revision, {waitMs: this.#watchMs(follower.watch), freshness});
					isBehind = false;
					backoffMs = BACKOFF_MS;
					revision = Math.max(revision, changes.revision);
					follower.change(changes);
					if (changes.events.length > 0) {
						// eslint-disable-next-line no-await-in-loop -- gathers what comes together
						await sleep(this.#pacedMs(follower.pause));
					}
				}

				this.#onStore(true, follower.kind);
			} catch (error) {
				const isCompacted = error instanceof StoreError && error.kind === 'compacted';
				if (isCompacted) {
					this.#parts.log.event('store_history_gone', {kind: follower.kind, revision: revision ?? 0});
				} else {
					this.#onStore(false, follower.kind, error as Error);
				}

				const waitMs = isCompacted && !isBehind ? 0 : backoffMs * (0.5 + this.#parts.random());
				isBehind = isCompacted;
				revision = undefined;
				// eslint-disable-next-line no-await-in-loop -- waits before it asks again
				await sleep(waitMs);
				backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
			}
		}
	}

	#watchMs(pace: Pace): number {
		return WATCH_LEAST_MS + ((this.#pacedMs(pace) - WATCH_LEAST_MS) * this.#parts.random());
	}

	#pacedMs({perHostMs, leastMs, mostMs}: Pace): number {
		return Math.min(mostMs, Math.max(leastMs, perHostMs * this.#parts.hosts.size));
	}

	#onStore(isUp: boolean, kind: string, error?: Error): void {
		if (error !== undefined) {
			this.#parts.log.registry.count('store_errors', {kind: error instanceof StoreError ? error.kind : 'unexpected'});
		}

		if (this.#isClosed || isUp === this.#isStoreUp) {
			return;
		}

		this.#isStoreUp = isUp;
		if (isUp) {
			this.#parts.log.event('store_regained', {kind});
			void this.#write();
		} else {
			this.#parts.log.warn('store_lost', {kind, reason: error?.message ?? '', siteRevision: this.#site?.revision ?? 0});
		}
	}

	#takeSite(object: StoredObject): void {
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

	#takeHost(object: StoredObject): void {
		if (object.name === this.#parts.host) {
			this.#ownRevision = Math.max(this.#ownRevision, object.revision);
			if (this.#wanted !== undefined && !isDeepStrictEqual(object.value, this.#wanted)) {
				void this.#write();
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
			this.#onOwnLapsed();
		} else {
			this.#parts.hosts.markDeleted(object.name, object.revision, this.#parts.clock.nowMs());
		}
	}

	#onOwnLapsed(): void {
		if (this.#ownRevision > 0) {
			this.#parts.log.warn('own_entry_lapsed', {revision: this.#ownRevision});
		}

		this.#ownRevision = 0;
		void this.#write();
	}

	async #write(): Promise<void> {
		if (this.#isWriting || this.#isClosed) {
			return;
		}

		this.#isWriting = true;
		let backoffMs = BACKOFF_MS;
		let written: HostEntry | undefined;
		while (!this.#isClosed && this.#wanted !== undefined && written !== this.#wanted) {
			const entry = this.#wanted;
			try {
				// eslint-disable-next-line no-await-in-loop -- one write at a time keeps their order
				const stored = await this.#store.put(HOST_KIND, entry.host, entry, this.#ownRevision);
				this.#ownRevision = stored.revision;
				written = entry;
			} catch (error) {
				const kind = error instanceof StoreError ? error.kind : 'unavailable';
				this.#parts.log.event('own_entry_unwritten', {reason: (error as Error).message, kind});
				// eslint-disable-next-line no-await-in-loop -- a write whose answer was lost may have been done
				written = await this.#adopt(entry);
				if (written === undefined && kind !== 'conflict') {
					// eslint-disable-next-line no-await-in-loop -- waits before it writes again
					await sleep(backoffMs * (0.5 + this.#parts.random()));
					backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
				}
			}
		}

		this.#isWriting = false;
	}

	/** Learns the revision of the own entry. @returns the entry, if the store already holds it */
	async #adopt(entry: HostEntry): Promise<HostEntry | undefined> {
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
