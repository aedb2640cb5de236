import {type TargetState} from './target.js';

/** The part of a target's state that its daemon publishes to the other daemons. */
export type PublishedTarget = {
	readonly id: string;
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
};

type HeldEntry = {entry: HostEntry; revision: number; deletedAtMs?: number};

/** The newest known entry of each daemon. Entries deleted from the store stay in use for a grace period. */
export class HostTable {
	readonly #graceMs: number;
	readonly #hosts = new Map<string, HeldEntry>();
	readonly #services = new Map<string, HostEntry[]>();

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

	get(host: string): HostEntry | undefined {
		return this.#hosts.get(host)?.entry;
	}

	/** The store revision of the entry held here. */
	revisionOf(host: string): number | undefined {
		return this.#hosts.get(host)?.revision;
	}

	/** The entries whose target runs the service. */
	serving(service: string): readonly HostEntry[] {
		return this.#services.get(service) ?? [];
	}

	/** Sets this daemon's own entry, which no entry from elsewhere replaces. */
	putOwn(entry: HostEntry): void {
		this.#hosts.set(entry.host, {entry, revision: Number.POSITIVE_INFINITY});
		this.#indexServices();
	}

	/** @returns whether the entry is newer than the one held here and replaced it */
	put(entry: HostEntry, revision: number): boolean {
		const held = this.#hosts.get(entry.host);
		if (held !== undefined && held.revision >= revision) {
			return false;
		}

		this.#hosts.set(entry.host, {entry, revision});
		this.#indexServices();
		return true;
	}

	/** Starts the grace period of an entry that is no longer in the store. */
	markDeleted(host: string, revision: number, nowMs: number): void {
		const held = this.#hosts.get(host);
		if (held !== undefined && held.revision <= revision) {
			held.deletedAtMs ??= nowMs;
		}
	}

	/** Marks the entries that are missing from the store's complete list as deleted. */
	reconcile(present: ReadonlySet<string>, revision: number, nowMs: number): void {
		for (const host of this.#hosts.keys()) {
			if (!present.has(host)) {
				this.markDeleted(host, revision, nowMs);
			}
		}
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
