import {type EventLog} from '../../log/index.js';
import {StoreError} from '../error.js';

/** Logs when the store can no longer be reached and when it can again, and counts its errors by kind. */
export class StoreHealth {
	readonly #log: EventLog;
	#isUp = true;
	#isClosed = false;

	constructor(log: EventLog) {
		this.#log = log;
	}

	/** @param error undefined if the call succeeded */
	record(kind: string, siteRevision: number, error: Error | undefined): void {
		if (error !== undefined) {
			this.#log.registry.count('store_errors', {kind: error instanceof StoreError ? error.kind : 'unexpected'});
		}

		const isUp = error === undefined;
		if (this.#isClosed || isUp === this.#isUp) {
			return;
		}

		this.#isUp = isUp;
		if (isUp) {
			this.#log.event('store_regained', {kind});
		} else {
			this.#log.warn('store_lost', {kind, reason: error.message, siteRevision});
		}
	}

	/** Ends the logging, because calls that are still open fail when the client closes. */
	close(): void {
		this.#isClosed = true;
	}
}
