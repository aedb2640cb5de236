import {type TargetState} from './target.js';

/** A target as its daemon publishes it to the other daemons. */
export type PublishedTarget = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly state: TargetState;
};

/** One daemon's entry in the store: where it listens, and the target beside it. */
export type HostEntry = {
	readonly host: string;
	readonly failureDomain: string;
	/** Where its peers reach it. */
	readonly address: string;
	/** Absent while the daemon has not heard its target, or after it ended. */
	readonly target?: PublishedTarget;
};

type Held = {entry: HostEntry; revision: number; lapsedMs?: number};

/** The daemons known of, by the newest word on each. Entries that lapse are kept for a while. */
export class HostTable {
	readonly #graceMs: number;
	readonly #hosts = new Map<string, Held>();
	readonly #services = new Map<string, HostEntry[]>();

	/** @param graceMs how long an entry that vanished from the store is still used, in ms */
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

	/** The store's revision of an entry, as far as is known here. */
	revisionOf(host: string): number | undefined {
		return this.#hosts.get(host)?.revision;
	}

	/** The entries whose target runs a service. */
	serving(service: string): readonly HostEntry[] {
		return this.#services.get(service) ?? [];
	}

	/** Puts this daemon's own entry, which nobody else's word replaces. */
	putOwn(entry: HostEntry): void {
		this.#hosts.set(entry.host, {entry, revision: Number.POSITIVE_INFINITY});
		this.#index();
	}

	/** @returns whether the entry was news */
	put(entry: HostEntry, revision: number): boolean {
		const held = this.#hosts.get(entry.host);
		if (held !== undefined && held.revision >= revision) {
			return false;
		}

		this.#hosts.set(entry.host, {entry, revision});
		this.#index();
		return true;
	}

	/** The store no longer holds a host's entry. */
	markDeleted(host: string, revision: number, nowMs: number): void {
		const held = this.#hosts.get(host);
		if (held !== undefined && held.revision <= revision) {
			held.lapsedMs ??= nowMs;
		}
	}

	/** The store's whole list: what is missing in it has lapsed. */
	reconcile(present: ReadonlySet<string>, revision: number, nowMs: number): void {
		for (const host of this.#hosts.keys()) {
			if (!present.has(host)) {
				this.markDeleted(host, revision, nowMs);
			}
		}
	}

	/** Takes out what lapsed and wasn't renewed in its grace. @returns the hosts taken out */
	removeDeleted(nowMs: number): string[] {
		const gone = [...this.#hosts].filter(([, {lapsedMs}]) => lapsedMs !== undefined && nowMs - lapsedMs >= this.#graceMs).map(([host]) => host);
		for (const host of gone) {
			this.#hosts.delete(host);
		}

		if (gone.length > 0) {
			this.#index();
		}

		return gone;
	}

	#index(): void {
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
