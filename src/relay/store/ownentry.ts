import {isDeepStrictEqual} from 'node:util';
import {sleep} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {type HostEntry} from '../../mesh/index.js';
import {StoreError} from '../error.js';
import {type DirectoryEvents} from './directoryevents.js';
import {findHostEntry} from './hostentry.js';
import {type ObjectStore} from './store.js';
import {INITIAL_BACKOFF_MS, MAX_BACKOFF_MS} from './storewatch.js';

/** The kind of the daemons' entries in the store. */
export const HOST_KIND = 'comfreydyke-hosts';
/** The smallest step between two revisions that a daemon tells its peers for entries that it hasn't written to the store. */
const REVISION_STEP = 1e-6;
/** The time over which the daemons spread the check of their entries after the store was restored from an older copy, in ms. */
const RECHECK_SPREAD_MS = 1000;
/** How long a write may take before peers hear of the entry without it, in ms: well within the time for which they keep a host whose entry is missing. */
const ANNOUNCE_DELAY_MS = 200;
/** How long a wait for the store to hold the entry lasts at most, in ms: a target waits a second for the acknowledgement of its leaving. */
const MAX_STORED_WAIT_MS = 500;
/** The start time of a daemon, in seconds, modulo this number becomes the fraction of its entry's first revision. */
const START_RANGE_S = 1e6;

export type OwnEntryOptions = {
	readonly store: ObjectStore;
	readonly log: EventLog;
	readonly random: () => number;
	/** When this daemon started, in ms since 1970. */
	readonly startedMs: number;
	/** Whether the store may have given out the same revisions twice. */
	readonly mayStoreBeRestored: () => boolean;
	/** Hears of the store's copy if it differs from the entry, before it is replaced: an earlier process may have known more. */
	readonly events: Pick<DirectoryEvents, 'onOwnEntry'>;
	/** Called when peers should hear of a new version of the entry. */
	readonly onVersion: (entry: HostEntry, revision: number) => void;
};

/**
 * This daemon's own entry: keeps the store's copy equal to it, and numbers its
 * versions. The store's revisions are whole numbers. Between two of them lie
 * those of versions that peers hear of without a write: at a restart, and while
 * the store can't be reached.
 */
export class OwnEntry {
	readonly #options: OwnEntryOptions;
	#entry: HostEntry | undefined;
	/** The revision of the last version that peers may know. */
	#revision = 0;
	/** The store's revision of its copy; 0 if it has none. */
	#storeRevision = 0;
	/** The store's copy, as far as is known here. */
	#stored: HostEntry | undefined;
	/** The entry that peers were told last. */
	#told: HostEntry | undefined;
	/** Called when the store's copy has become equal to the entry. */
	readonly #onStored = new Set<() => void>();
	/** Ends a pause after failed writes early; undefined while there is none that may end so. */
	#resume: (() => void) | undefined;
	#isWriting = false;
	#isClosed = false;

	constructor(options: OwnEntryOptions) {
		this.#options = options;
	}

	/** @returns whether the entry has changed */
	publish(published: HostEntry): boolean {
		const entry = withKnownStart(published, this.#stored);
		if (isDeepStrictEqual(entry, this.#entry)) {
			return false;
		}

		this.#entry = entry;
		if (isDeepStrictEqual(entry, this.#stored)) {
			this.announce();
		} else {
			void this.write();
		}

		return true;
	}

	/** Waits until the store's copy is equal to the entry, half a second at most. @returns whether it is */
	async untilStored(): Promise<boolean> {
		if (this.#isStored || this.#isClosed) {
			return this.#isStored;
		}

		return new Promise(resolve => {
			const settle = () => {
				clearTimeout(timer);
				this.#onStored.delete(settle);
				resolve(this.#isStored);
			};

			const timer = setTimeout(settle, MAX_STORED_WAIT_MS);
			this.#onStored.add(settle);
			this.#resume?.();
		});
	}

	/** Takes in a version of the entry that the store or a peer holds: one of this daemon's earlier life, or this one. */
	observe(entry: HostEntry | undefined, revision: number): void {
		if (Number.isInteger(revision) && revision > this.#storeRevision) {
			this.#storeRevision = revision;
			this.#stored = entry;
			this.#settleWaits();
		}

		const isNewer = revision > this.#revision;
		this.#revision = Math.max(this.#revision, revision);
		if (this.#entry === undefined) {
			return;
		}

		this.#entry = withKnownStart(this.#entry, entry);
		const isSame = isDeepStrictEqual(entry, this.#entry);
		if (!isSame) {
			void this.write();
		}

		if (isNewer && !(isSame && Number.isInteger(revision))) {
			this.announce();
		}
	}

	/** Notes that the store holds no copy any more, as of this revision, and writes one. */
	onLost(revision: number): void {
		if (revision < this.#storeRevision) {
			return;
		}

		if (this.#storeRevision > 0) {
			this.#options.log.warn('own_entry_lapsed', {revision: this.#storeRevision});
		}

		this.#revision = Math.max(this.#revision, revision);
		this.#storeRevision = 0;
		this.#stored = undefined;
		// Peers would forget this host before a store that is silent has refused the write.
		this.announce();
		void this.write();
	}

	/** Checks that the store still holds the entry, because it was restored from an older copy. */
	onStoreRestored(): void {
		setTimeout(() => {
			if (this.#isWriting) {
				this.onStoreRestored();
			} else {
				void this.#recheck();
			}
		}, this.#options.random() * RECHECK_SPREAD_MS);
	}

	/** Tells peers of the entry under a revision that is new to them, without a write. */
	announce(): void {
		if (this.#entry === undefined) {
			return;
		}

		const whole = Math.floor(this.#revision);
		const ofStart = whole + (Math.floor(this.#options.startedMs / 1000) % START_RANGE_S / START_RANGE_S);
		this.#revision = Math.min(Math.max(ofStart, this.#revision + REVISION_STEP), whole + 1 - REVISION_STEP);
		this.#tell(this.#entry);
	}

	/** Writes the entry to the store, as soon as the store can be reached. */
	async write(): Promise<void> {
		if (this.#isWriting || this.#isClosed) {
			return;
		}

		this.#isWriting = true;
		let backoffMs = INITIAL_BACKOFF_MS;
		let written: HostEntry | undefined;
		while (!this.#isClosed && this.#entry !== undefined && written !== this.#entry) {
			const entry = this.#entry;
			const announceTimer = setTimeout(() => {
				this.#announceOnce();
			}, ANNOUNCE_DELAY_MS);
			// eslint-disable-next-line no-await-in-loop -- one write at a time keeps the writes in order
			const outcome = await this.#tryWrite(entry);
			clearTimeout(announceTimer);
			if (outcome === 'written') {
				written = entry;
			} else if (outcome !== 'conflict') {
				this.#announceOnce();
				backoffMs = outcome === 'reachable' ? INITIAL_BACKOFF_MS : backoffMs;
				// eslint-disable-next-line no-await-in-loop -- backs off before it writes again
				await this.#pause(backoffMs * (0.5 + this.#options.random()));
				backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
			}
		}

		this.#isWriting = false;
	}

	close(): void {
		this.#isClosed = true;
	}

	/** Backs off. While the entry is waited for, only as long as after a first failure: the wait is shorter than the longest back-off. */
	async #pause(pauseMs: number): Promise<void> {
		const shortMs = Math.min(pauseMs, INITIAL_BACKOFF_MS * (0.5 + this.#options.random()));
		await sleep(shortMs);
		if (this.#onStored.size > 0 || pauseMs <= shortMs) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, pauseMs - shortMs);
			this.#resume = () => {
				clearTimeout(timer);
				resolve();
			};
		});
		this.#resume = undefined;
	}

	get #isStored(): boolean {
		return this.#stored !== undefined && isDeepStrictEqual(this.#stored, this.#entry);
	}

	#settleWaits(): void {
		if (this.#onStored.size > 0 && this.#isStored) {
			for (const settle of this.#onStored) {
				settle();
			}
		}
	}

	/** @returns `reachable` if the store answers reads, but the write failed */
	async #tryWrite(entry: HostEntry): Promise<'written' | 'conflict' | 'reachable' | 'unavailable'> {
		const {store, log} = this.#options;
		try {
			const stored = await store.put(HOST_KIND, entry.host, entry, this.#storeRevision);
			this.#onWritten(entry, stored.revision);
			return 'written';
		} catch (error) {
			const kind = error instanceof StoreError ? error.kind : 'unavailable';
			log.event('own_entry_unwritten', {reason: (error as Error).message, kind});
			if (kind === 'refused') {
				return 'unavailable';
			}

			// A write whose answer was lost may have succeeded.
			const copy = await this.#readStored(entry);
			if (copy === 'same') {
				return 'written';
			}

			return kind === 'conflict' ? 'conflict' : (copy === 'unread' ? 'unavailable' : 'reachable');
		}
	}

	/** Reads the store's copy and compares it with the entry. */
	async #readStored(entry: HostEntry): Promise<'same' | 'different' | 'unread'> {
		const {store, log} = this.#options;
		try {
			const stored = await store.get(HOST_KIND, entry.host);
			this.#storeRevision = stored.revision;
			this.#stored = undefined;
			const isSame = isDeepStrictEqual(stored.value, entry);
			if (isSame) {
				this.#onWritten(entry, stored.revision);
			} else {
				this.#options.events.onOwnEntry(findHostEntry(stored.value));
			}

			return isSame ? 'same' : 'different';
		} catch (error) {
			if (error instanceof StoreError && error.kind === 'missing') {
				this.#storeRevision = 0;
				return 'different';
			}

			log.event('own_entry_unread', {reason: (error as Error).message});
			return 'unread';
		}
	}

	async #recheck(): Promise<void> {
		const entry = this.#entry;
		if (entry === undefined || this.#isClosed) {
			return;
		}

		const revision = this.#storeRevision;
		const copy = await this.#readStored(entry);
		if (this.#storeRevision === 0) {
			this.#options.log.warn('own_entry_lapsed', {revision});
		}

		if (copy !== 'same') {
			await this.write();
		}
	}

	#onWritten(entry: HostEntry, revision: number): void {
		this.#storeRevision = revision;
		this.#stored = entry;
		this.#settleWaits();
		const isAhead = revision > this.#revision;
		this.#revision = Math.max(this.#revision, revision);
		if (isAhead && !this.#options.mayStoreBeRestored()) {
			this.#tell(entry);
		} else if (isAhead || entry !== this.#told) {
			// Peers may know this revision as that of another version; the fraction of this daemon's start sets them apart.
			this.announce();
		}
	}

	#announceOnce(): void {
		if (this.#told !== this.#entry) {
			this.announce();
		}
	}

	#tell(entry: HostEntry): void {
		this.#told = entry;
		this.#options.onVersion(entry, this.#revision);
	}
}

// A daemon that has restarted learns the id of its target before its start; the entry from before names both.
function withKnownStart(entry: HostEntry, previous: HostEntry | undefined): HostEntry {
	const {target} = entry;
	const bornMs = previous?.target?.bornMs;
	return target === undefined || target.bornMs !== undefined || bornMs === undefined || previous?.target?.id !== target.id ? entry : {...entry, target: {...target, bornMs}};
}
