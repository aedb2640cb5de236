import {sleep} from '../../clock/index.js';
import {type EventLog} from '../../log/index.js';
import {StoreError} from '../error.js';
import {
	type StoreChanges, type StoreEpoch, type Freshness, type ObjectStore, type StoredObject,
} from './store.js';

/** The back-off after the first failed call to the store, in ms; it doubles up to `MAX_BACKOFF_MS`. */
export const INITIAL_BACKOFF_MS = 150;
export const MAX_BACKOFF_MS = 1000;

export type StoreWatchOptions = {
	readonly store: ObjectStore;
	readonly log: EventLog;
	readonly random: () => number;
	readonly kind: string;
	readonly freshness: Freshness;
	/** Whether this daemon calls the store now: it watches for others, or lacks what the first listing brings. */
	readonly isNeeded: (hasListed: boolean) => boolean;
	/** Chooses how long the next watch waits, in ms. */
	readonly chooseTimeoutMs: () => number;
	/** Chooses the pause after changes, in ms, so that changes in quick succession cost one call to the store. */
	readonly choosePauseMs: () => number;
	readonly onListing: (objects: readonly StoredObject[], revision: number) => void;
	readonly onChanges: (changes: StoreChanges) => void;
	/** Receives the epoch of each answer. */
	readonly onEpoch: (epoch: StoreEpoch) => void;
	/** Receives the error of each call that failed, and undefined after each that succeeded. */
	readonly onOutcome: (error: Error | undefined) => void;
};

/** Lists the objects of one kind in the store, and then watches for their changes as long as that is needed. */
export class StoreWatch {
	readonly #options: StoreWatchOptions;
	#revision: number | undefined;
	/** The epoch of the last listing. */
	#epoch: StoreEpoch = 0;
	/** A stale answer can be older than the history that the store still has, so the next call asks for a fresh one. */
	#needsFreshAnswer = false;
	#backoffMs = INITIAL_BACKOFF_MS;
	#isClosed = false;
	#resume: (() => void) | undefined;

	constructor(options: StoreWatchOptions) {
		this.#options = options;
	}

	async run(): Promise<void> {
		while (!this.#isClosed) {
			// eslint-disable-next-line no-await-in-loop -- each call needs the result of the one before
			await (this.#isNeeded ? this.#callStore() : this.#waitUntilNeeded());
		}
	}

	/** Resumes the calls to the store if they are needed again. */
	check(): void {
		if (this.#resume !== undefined && this.#isNeeded) {
			this.#resume();
		}
	}

	close(): void {
		this.#isClosed = true;
		this.#resume?.();
	}

	async #waitUntilNeeded(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#resume = resolve;
		});
		this.#resume = undefined;
	}

	async #callStore(): Promise<void> {
		const {log, kind, random, onOutcome} = this.#options;
		try {
			await (this.#revision === undefined ? this.#list() : this.#watch(this.#revision));
			onOutcome(undefined);
		} catch (error) {
			const isCompacted = error instanceof StoreError && error.kind === 'compacted';
			if (isCompacted) {
				log.event('store_history_gone', {kind, revision: this.#revision ?? 0});
			} else {
				onOutcome(error as Error);
			}

			const waitMs = isCompacted && !this.#needsFreshAnswer ? 0 : this.#backoffMs * (0.5 + random());
			this.#needsFreshAnswer = isCompacted;
			this.#revision = undefined;
			await sleep(waitMs);
			this.#backoffMs = Math.min(this.#backoffMs * 2, MAX_BACKOFF_MS);
		}
	}

	async #list(): Promise<void> {
		const {store, kind, onListing, onEpoch} = this.#options;
		const {objects, revision, epoch} = await store.list(kind, this.#freshness);
		this.#revision = revision;
		this.#epoch = epoch;
		onEpoch(epoch);
		onListing(objects, revision);
	}

	async #watch(from: number): Promise<void> {
		const {
			store, kind, chooseTimeoutMs, choosePauseMs, onChanges, onEpoch,
		} = this.#options;
		const changes = await store.watch(kind, from, {waitMs: chooseTimeoutMs(), freshness: this.#freshness});
		this.#needsFreshAnswer = false;
		this.#backoffMs = INITIAL_BACKOFF_MS;
		onEpoch(changes.epoch);
		if (changes.epoch !== this.#epoch) {
			// Revisions up to `from` were given out again, so the changes that they now stand for are missing here.
			this.#revision = undefined;
			this.#needsFreshAnswer = true;
			return;
		}

		this.#revision = Math.max(from, changes.revision);
		onChanges(changes);
		if (changes.events.length > 0) {
			await sleep(choosePauseMs());
		}
	}

	get #isNeeded(): boolean {
		return this.#options.isNeeded(this.#revision !== undefined);
	}

	get #freshness(): Freshness {
		return this.#needsFreshAnswer ? 'fresh' : this.#options.freshness;
	}
}
