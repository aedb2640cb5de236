import {type EventLog} from '../log/index.js';
import {type StoreEpoch} from './store.js';

/** The epoch of a store that was never restored. */
const FIRST_EPOCH = 1;

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

	/** Whether the store was ever restored from an older copy, as far as is known: revisions may have been given out twice. */
	get wasRestored(): boolean {
		return this.#epoch !== undefined && this.#epoch > FIRST_EPOCH;
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
