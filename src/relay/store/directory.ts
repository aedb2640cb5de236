import {type Clock} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {
	FreshnessLease, type HostEntry, type HostRecord, type HostTable, type Site, type StoreWatchers,
} from '../../mesh/index.js';
import {type Adapter} from '../adapter.js';
import {ActiveSite} from './activesite.js';
import {type DirectoryEvents} from './directoryevents.js';
import {decodeStoredHost, deletionOf} from './hostentry.js';
import {HOST_KIND, OwnEntry} from './ownentry.js';
import {StoreEpochTracker} from './storeepoch.js';
import {StoreHealth} from './storehealth.js';
import {StoreWatch} from './storewatch.js';
import {
	type ObjectStore, type StoreEpoch, type StoreEvent, type StoredObject,
} from './store.js';
import {SITE_PAUSE_MS, hostPauseMs, hostWatchMs} from './watchtiming.js';

/** The share of the time in which a configuration must be in force for which a confirmation by the store is trusted. */
const LEASE_SHARE = 0.6;
/** The share of that time over which the daemons' own questions are spread once no confirmation comes. */
const JITTER_SHARE = 0.25;
/** The mean number of confirmations by the watchers of a site within a lease. */
const CONFIRMATIONS_PER_LEASE = 2;

export type DirectoryParts = {
	readonly adapter: Adapter;
	readonly clock: Clock;
	readonly log: EventLog;
	readonly hosts: HostTable;
	readonly events: DirectoryEvents;
	readonly host: string;
	/** How long after its acceptance a configuration must be in force everywhere, in ms. */
	readonly configMs: number;
	/** How long after its start a daemon doesn't watch for others, in ms: it may not know yet who else does. */
	readonly settlingMs: number;
	readonly random: () => number;
	/** Elects the daemons that watch the store for the others. */
	readonly electWatchers: () => StoreWatchers;
};

/** Mirrors the store in memory: the configuration and the entries of the other daemons. Writes this daemon's own entry. */
export class Directory {
	readonly #parts: DirectoryParts;
	readonly #store: ObjectStore;
	readonly #lease: FreshnessLease;
	readonly #ownEntry: OwnEntry;
	readonly #storeHealth: StoreHealth;
	readonly #storeEpoch: StoreEpochTracker;
	readonly #active: ActiveSite;
	readonly #watches: readonly StoreWatch[];
	readonly #startedMs: number;
	#watchers: StoreWatchers = {isElected: false, count: 1};
	#leaseTimer: NodeJS.Timeout | undefined;
	#isClosed = false;

	constructor(parts: DirectoryParts) {
		const {adapter, clock, log, random, configMs} = parts;
		this.#parts = parts;
		this.#store = adapter.store;
		this.#startedMs = clock.nowMs();
		this.#storeHealth = new StoreHealth(log);
		this.#lease = new FreshnessLease({leaseMs: configMs * LEASE_SHARE, jitterMs: configMs * JITTER_SHARE}, random, clock.nowMs());
		this.#ownEntry = new OwnEntry({
			store: this.#store,
			log,
			random,
			startedMs: this.#startedMs,
			mayStoreBeRestored: () => this.#storeEpoch.mayBeRestored,
			events: parts.events,
			onVersion(entry, revision) {
				parts.hosts.setOwnRevision(parts.host, revision);
				parts.events.onRecords([{host: parts.host, revision, entry}]);
			},
		});
		this.#active = new ActiveSite(adapter, log, site => {
			parts.events.onSite(site);
		});
		this.#storeEpoch = new StoreEpochTracker(log, () => {
			this.#ownEntry.onStoreRestored();
		});
		this.#watches = [this.#createSiteWatch(), this.#createHostWatch()];
	}

	/** The configuration as the store sent it, undecoded, for peers that don't have it. */
	get siteValue(): unknown {
		return this.#active.value;
	}

	get site(): Site | undefined {
		return this.#active.site;
	}

	/** The newest epoch of the store that is known. */
	get storeEpoch(): StoreEpoch | undefined {
		return this.#storeEpoch.epoch;
	}

	/** How old the store's last confirmation of the configuration is, in ms. */
	get confirmationAgeMs(): number {
		return this.#lease.ageMs(this.#parts.clock.nowMs());
	}

	start(): void {
		this.check();
		for (const watch of this.#watches) {
			void watch.run();
		}

		this.#scheduleLeaseEnd();
	}

	/** Publishes this daemon's own entry to the store and to its peers. */
	publish(entry: HostEntry): void {
		if (this.#ownEntry.publish(entry)) {
			this.#parts.hosts.putOwn(entry);
		}
	}

	/** Waits until the store holds the own entry, half a second at most. @returns whether it does */
	async untilStored(): Promise<boolean> {
		return this.#ownEntry.untilStored();
	}

	/** Applies a configuration from a peer if it is newer than the one in force. */
	offerSite(value: unknown, revision: number): void {
		this.#active.offer({name: this.#parts.adapter.configuration.name, revision, value});
	}

	/** Takes in the epoch of the store that a peer names. @returns whether other peers should hear of it */
	offerEpoch(epoch: StoreEpoch): boolean {
		return this.#storeEpoch.record(epoch, 'peer');
	}

	/** Takes in a peer's confirmation of a configuration. @returns whether it is so new that other peers should hear of it */
	confirm(siteVersion: number, ageMs: number): boolean {
		// A confirmation of the future would put off all later ones.
		const isNew = ageMs >= 0 && siteVersion === (this.site?.version ?? 0) && this.#lease.confirm(this.#parts.clock.nowMs() - ageMs);
		if (isNew) {
			this.#scheduleLeaseEnd();
		}

		return isNew;
	}

	/** Applies versions of entries from a peer. @returns those that are new here */
	offerRecords(records: readonly HostRecord[]): HostRecord[] {
		return records.filter(({host, revision, entry}) => {
			if (host === this.#parts.host) {
				this.#observeOwn(entry, revision);
				return false;
			}

			return entry === undefined
				? this.#parts.hosts.markDeleted(host, revision, this.#parts.clock.nowMs())
				: this.#putHost(entry, revision);
		});
	}

	/** Removes the entry of a host that is gone for good from the store, unless it has been written in the meantime. */
	async removeEntry(host: string): Promise<void> {
		const {hosts, log, clock, events} = this.#parts;
		const revision = hosts.revisionOf(host);
		if (revision === undefined || this.#isClosed) {
			return;
		}

		try {
			// The store knows nothing of the versions between its revisions.
			await this.#store.remove(HOST_KIND, host, Math.floor(revision));
			log.event('host_collected', {host, revision});
			if (hosts.markDeleted(host, revision, clock.nowMs())) {
				events.onRecords([{host, revision}]);
			}
		} catch (error) {
			log.event('host_uncollected', {host, revision, reason: (error as Error).message});
		}
	}

	/** Elects the watchers anew, and removes the hosts whose entries were deleted from the store and not written again within the grace period. */
	check(): void {
		const elected = this.#parts.electWatchers();
		const watchers = {...elected, isElected: elected.isElected && this.#parts.clock.nowMs() - this.#startedMs >= this.#parts.settlingMs};
		if (watchers.isElected !== this.#watchers.isElected) {
			this.#parts.log.event(watchers.isElected ? 'watching' : 'not_watching', {watchers: watchers.count, hosts: this.#parts.hosts.size});
		}

		this.#watchers = watchers;
		for (const watch of this.#watches) {
			watch.check();
		}

		for (const host of this.#parts.hosts.removeDeleted(this.#parts.clock.nowMs())) {
			this.#parts.log.event('host_gone', {host});
			this.#parts.events.onHostRemoved(host);
		}
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		clearTimeout(this.#leaseTimer);
		this.#storeHealth.close();
		this.#active.close();
		this.#ownEntry.close();
		for (const watch of this.#watches) {
			watch.close();
		}

		await this.#store.close();
	}

	#createSiteWatch(): StoreWatch {
		const {adapter: {configuration}, configMs, random} = this.#parts;
		return new StoreWatch({
			...this.#watchParts(configuration.kind),
			freshness: 'fresh',
			isNeeded: hasListed => this.#watchers.isElected || (!hasListed && this.site === undefined),
			chooseTimeoutMs: () => this.#watchers.count * configMs * LEASE_SHARE / CONFIRMATIONS_PER_LEASE * (0.5 + random()),
			choosePauseMs: () => SITE_PAUSE_MS,
			onListing: objects => {
				this.#applyListedSites(objects);
			},
			onChanges: ({events}) => {
				for (const {object} of events.filter(({isDeleted}) => !isDeleted)) {
					this.#active.offer(object);
				}

				this.#onConfirmed();
			},
		});
	}

	#createHostWatch(): StoreWatch {
		return new StoreWatch({
			...this.#watchParts(HOST_KIND),
			freshness: 'stale',
			isNeeded: () => this.#watchers.isElected || this.#parts.hosts.size <= 1,
			chooseTimeoutMs: () => hostWatchMs(this.#parts.random()),
			choosePauseMs: () => hostPauseMs(this.#parts.hosts.size),
			onListing: (objects, revision) => {
				this.#applyHosts(objects, revision);
			},
			onChanges: ({events}) => {
				this.#applyHostEvents(events);
			},
		});
	}

	#watchParts(kind: string) {
		const {log, random} = this.#parts;
		return {
			store: this.#store,
			log,
			random,
			kind,
			onEpoch: (epoch: StoreEpoch) => {
				this.#recordEpoch(epoch);
			},
			onOutcome: (error: Error | undefined) => {
				this.#recordOutcome(kind, error);
			},
		};
	}

	#scheduleLeaseEnd(): void {
		clearTimeout(this.#leaseTimer);
		if (!this.#isClosed) {
			this.#leaseTimer = setTimeout(() => {
				void this.#onLeaseEnd();
			}, Math.max(0, this.#lease.dueMs - this.#parts.clock.nowMs()));
		}
	}

	/** Asks the store itself, because no watcher was heard of for the time of the lease. */
	async #onLeaseEnd(): Promise<void> {
		const {clock, log, hosts, adapter: {configuration}} = this.#parts;
		if (clock.nowMs() < this.#lease.dueMs) {
			this.#scheduleLeaseEnd();
			return;
		}

		log.event('lease_ended', {ageMs: Math.round(Math.min(this.confirmationAgeMs, Number.MAX_SAFE_INTEGER)), siteRevision: this.site?.revision ?? 0});
		try {
			const {objects, epoch} = await this.#store.list(configuration.kind, 'fresh');
			this.#recordEpoch(epoch);
			this.#recordOutcome(configuration.kind, undefined);
			this.#applyListedSites(objects);
			const listing = await this.#store.list(HOST_KIND, 'stale');
			this.#applyHosts(listing.objects, listing.revision);
		} catch (error) {
			this.#recordOutcome(configuration.kind, error as Error);
			this.#lease.onFailure(hosts.size, clock.nowMs());
		}

		this.#scheduleLeaseEnd();
	}

	#onConfirmed(): void {
		if (this.#lease.confirm(this.#parts.clock.nowMs())) {
			this.#scheduleLeaseEnd();
			this.#parts.events.onConfirmed();
		}
	}

	#applyListedSites(objects: readonly StoredObject[]): void {
		for (const object of objects) {
			if (this.#storeEpoch.mayBeRestored) {
				this.#active.hold(object);
			} else {
				this.#active.offer(object);
			}
		}

		this.#onConfirmed();
	}

	#recordEpoch(epoch: StoreEpoch): void {
		if (this.#storeEpoch.record(epoch, 'store')) {
			this.#parts.events.onStoreRestored();
		}
	}

	#recordOutcome(kind: string, error: Error | undefined): void {
		this.#storeHealth.record(kind, this.site?.revision ?? 0, error);
	}

	#applyHosts(objects: readonly StoredObject[], revision: number): void {
		const {hosts, host: ownHost, clock} = this.#parts;
		const names = new Set(objects.map(({name}) => name));
		const deleted = hosts.reconcile(names, revision, clock.nowMs()).map(host => ({host, revision}));
		if (!names.has(ownHost)) {
			this.#observeOwn(undefined, revision);
		}

		this.#tell([...deleted, ...objects.flatMap(object => this.#applyHost(object))]);
	}

	#applyHostEvents(events: readonly StoreEvent[]): void {
		this.#tell(events.flatMap(({object, isDeleted}) => isDeleted ? this.offerRecords(deletionOf(object)) : this.#applyHost(object)));
	}

	/** @returns the version, if it is new here */
	#applyHost(object: StoredObject): HostRecord[] {
		const {host: ownHost, log} = this.#parts;
		try {
			const entry = decodeStoredHost(object);
			if (entry.host === ownHost) {
				this.#observeOwn(entry, object.revision);
				return [];
			}

			return this.#putHost(entry, object.revision) ? [{host: entry.host, revision: object.revision, entry}] : [];
		} catch (error) {
			if (object.name === ownHost) {
				// Daemons that start later would learn of this host from its peers alone.
				this.#ownEntry.observe(undefined, object.revision);
			}

			log.warn('host_rejected', {host: object.name, reason: (error as Error).message});
			return [];
		}
	}

	#putHost(entry: HostEntry, revision: number): boolean {
		const {hosts, log, events} = this.#parts;
		const isNew = hosts.put(entry, revision);
		if (isNew) {
			log.event('host_learned', {
				host: entry.host, instance: entry.target?.id ?? '', service: entry.target?.service ?? '', state: entry.target?.state ?? 'none', revision,
			});
			events.onHost(entry);
		}

		return isNew;
	}

	#observeOwn(entry: HostEntry | undefined, revision: number): void {
		this.#parts.events.onOwnEntry(entry);
		if (entry === undefined) {
			this.#ownEntry.onLost(revision);
			return;
		}

		const {hosts, host} = this.#parts;
		if (revision > (hosts.revisionOf(host) ?? 0)) {
			hosts.setOwnRevision(host, revision);
		}

		this.#ownEntry.observe(entry, revision);
	}

	#tell(records: readonly HostRecord[]): void {
		if (records.length > 0) {
			this.#parts.events.onRecords(records);
		}
	}
}
