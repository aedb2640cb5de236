import {type EventLog} from '../log/index.js';
import {type StoreEra} from './store.js';

/** Tracks the era of the store, as its answers and the peers name it. */
export class StoreEraTracker {
	readonly #log: EventLog;
	readonly #onReturned: () => void;
	#era: StoreEra | undefined;

	/** @param onReturned called when the store has come back from an older copy */
	constructor(log: EventLog, onReturned: () => void) {
		this.#log = log;
		this.#onReturned = onReturned;
	}

	/** The newest era known; undefined until an answer or a peer has named one. */
	get era(): StoreEra | undefined {
		return this.#era;
	}

	/** Notes an era. @returns whether the store has come back since the one that was known, so that peers should hear of it */
	record(era: StoreEra, source: 'store' | 'peer'): boolean {
		const knownEra = this.#era;
		if (knownEra !== undefined && era <= knownEra) {
			return false;
		}

		this.#era = era;
		if (knownEra === undefined) {
			return false;
		}

		this.#log.warn('store_returned', {era, knownEra, source});
		this.#onReturned();
		return true;
	}
}
