import {Digest} from '../../core/index.js';
import {type EndedStart, type TargetState} from './target.js';

/** The part of a target's state that its daemon publishes to the other daemons. */
export type PublishedTarget = {
	readonly id: string;
	/** When this start of the target began, in ms since 1970; absent until the target has announced itself. */
	readonly bornMs?: number;
	readonly service: string;
	readonly slots: number;
	readonly state: TargetState;
};

/** One daemon's entry in the store: the address it listens on, and its local target. */
export type HostEntry = {
	readonly host: string;
	readonly failureDomain: string;
	/** Address for connections from other daemons. */
	readonly address: string;
	/** Absent until the target announces itself to the daemon, and after the target ends. */
	readonly target?: PublishedTarget;
	/** The last start of a target here that has deregistered: known to this daemon after a restart, too. */
	readonly ended?: EndedStart;
};

/** One version of a host's entry, as daemons tell it to each other. */
export type HostRecord = {
	readonly host: string;
	/** The store's revision of the entry, plus a fraction for a version that its daemon has told the others without writing it. */
	readonly revision: number;
	/** Absent if the entry was deleted. */
	readonly entry?: HostEntry;
};

type HeldEntry = {entry: HostEntry; isOwn: boolean; deletedAtMs?: number};

/**
 * The newest known entry of each daemon. Entries deleted from the store stay in
 * use for a grace period. Only a version of a higher revision replaces another,
 * and a digest of all revisions shows two daemons whether they know the same.
 */
export class HostTable {
	readonly #graceMs: number;
	readonly #hosts = new Map<string, HeldEntry>();
	readonly #services = new Map<string, HostEntry[]>();
	/** The newest known revision of each host's entry, that of its deletion included. */
	readonly #revisions = new Map<string, number>();
	readonly #digest = new Digest();
	#ownHost: string | undefined;

	/** @param graceMs how long an entry that was deleted from the store stays in use, in ms */
	constructor(graceMs: number) {
		this.#graceMs = graceMs;
	}

	get size(): number {
		return this.#hosts.size;
	}

	get entries(): HostEntry[] {
		return [...this.#hosts.values()].map(({entry}) => entry);
	}

	/** A hash that is equal on two daemons that know the same versions. */
	get digest(): number {
		return this.#digest.value;
	}

	get(host: string): HostEntry | undefined {
		return this.#hosts.get(host)?.entry;
	}

	/** The newest known revision of the host's entry. */
	revisionOf(host: string): number | undefined {
		return this.#revisions.get(host);
	}

	/** The newest known revision of each host's entry. */
	get revisions(): ReadonlyMap<string, number> {
		return this.#revisions;
	}

	/** The entries whose target runs the service. */
	serving(service: string): readonly HostEntry[] {
		return this.#services.get(service) ?? [];
	}

	/** Sets this daemon's own entry, which no entry from elsewhere replaces. */
	putOwn(entry: HostEntry): void {
		this.#hosts.set(entry.host, {entry, isOwn: true});
		this.#indexServices();
	}

	/** Sets the revision of this daemon's own entry, which may not be known here yet. */
	setOwnRevision(host: string, revision: number): void {
		this.#ownHost = host;
		this.#setRevision(host, revision);
	}

	/** @returns whether the entry is newer than the one held here and replaced it */
	put(entry: HostEntry, revision: number): boolean {
		if ((this.#revisions.get(entry.host) ?? 0) >= revision) {
			return false;
		}

		this.#setRevision(entry.host, revision);
		this.#hosts.set(entry.host, {entry, isOwn: false});
		this.#indexServices();
		return true;
	}

	/**
	 * Starts the grace period of an entry that is no longer in the store.
	 * @returns whether the deletion was not known here
	 */
	markDeleted(host: string, revision: number, nowMs: number): boolean {
		const knownRevision = this.#revisions.get(host) ?? 0;
		const held = this.#hosts.get(host);
		if (knownRevision > revision || held?.isOwn === true) {
			return false;
		}

		const isNew = knownRevision < revision || (held !== undefined && held.deletedAtMs === undefined);
		this.#setRevision(host, revision);
		if (held !== undefined) {
			held.deletedAtMs ??= nowMs;
		}

		return isNew;
	}

	/**
	 * Marks the entries that are missing from the store's complete list as deleted.
	 * @returns the hosts whose deletion was not known here
	 */
	reconcile(present: ReadonlySet<string>, revision: number, nowMs: number): string[] {
		return [...this.#hosts].filter(([host, {deletedAtMs}]) => deletedAtMs === undefined && !present.has(host) && this.markDeleted(host, revision, nowMs)).map(([host]) => host);
	}

	/** Removes the deleted entries that weren't renewed within the grace period. @returns the removed hosts */
	removeDeleted(nowMs: number): string[] {
		const removed = [...this.#hosts].filter(([, {deletedAtMs}]) => deletedAtMs !== undefined && nowMs - deletedAtMs >= this.#graceMs).map(([host]) => host);
		for (const host of removed) {
			this.#hosts.delete(host);
		}

		if (removed.length > 0) {
			this.#indexServices();
		}

		return removed;
	}

	/** The versions that a peer lacks that knows the given revisions. */
	newerThan(revisions: ReadonlyMap<string, number>): HostRecord[] {
		const newer = [...this.#revisions].filter(([host, revision]) => revision > (revisions.get(host) ?? 0));
		return this.recordsOf(newer.map(([host]) => host));
	}

	/** The newest known versions of these hosts' entries, without those of hosts that aren't known here. */
	recordsOf(hosts: Iterable<string>): HostRecord[] {
		const records: HostRecord[] = [];
		for (const host of hosts) {
			const revision = this.#revisions.get(host);
			const held = this.#hosts.get(host);
			if (revision === undefined || (held === undefined && host === this.#ownHost)) {
				continue;
			}

			records.push(held === undefined || held.deletedAtMs !== undefined ? {host, revision} : {host, revision, entry: held.entry});
		}

		return records;
	}

	#setRevision(host: string, revision: number): void {
		const known = this.#revisions.get(host);
		if (known !== undefined) {
			this.#digest.toggle(host, known);
		}

		this.#digest.toggle(host, revision);
		this.#revisions.set(host, revision);
	}

	#indexServices(): void {
		this.#services.clear();
		for (const {entry} of this.#hosts.values()) {
			if (entry.target !== undefined) {
				const list = this.#services.get(entry.target.service) ?? [];
				list.push(entry);
				this.#services.set(entry.target.service, list);
			}
		}
	}
}
