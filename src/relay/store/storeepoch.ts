import {type EventLog} from '../../log/index.js';
import {type StoreEpoch} from './store.js';

/** The epoch of a store that was surely never restored; one that counts from 1 has none. */
const UNRESTORED_EPOCH = 0;

/** Tracks the epoch of the store, as its answers and the peers name it. */
export class StoreEpochTracker {
	readonly #log: EventLog;
	readonly #onRestored: () => void;
	#epoch: StoreEpoch | undefined;

	/** @param onRestored called when the store was restored from an older copy */
	constructor(log: EventLog, onRestored: () => void) {
		this.#log = log;
		this.#onRestored = onRestored;
	}

	/** The newest epoch known; undefined until an answer or a peer has named one. */
	get epoch(): StoreEpoch | undefined {
		return this.#epoch;
	}

	/** Whether the store may have been restored from an older copy, so that revisions were given out twice. */
	get mayBeRestored(): boolean {
		return this.#epoch !== undefined && this.#epoch > UNRESTORED_EPOCH;
	}

	/** Notes an epoch. @returns whether the store was restored since the one that was known, so that peers should hear of it */
	record(epoch: StoreEpoch, source: 'store' | 'peer'): boolean {
		const knownEpoch = this.#epoch;
		if (knownEpoch !== undefined && epoch <= knownEpoch) {
			return false;
		}

		this.#epoch = epoch;
		if (knownEpoch === undefined) {
			this.#log.event('store_epoch', {epoch, source});
			return false;
		}

		this.#log.warn('store_restored', {epoch, knownEpoch, source});
		this.#onRestored();
		return true;
	}
}
