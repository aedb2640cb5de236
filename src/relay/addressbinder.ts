import {type EventLog} from '../log/index.js';
import {type ListenPatience} from '../wire/index.js';
import {type Address} from './settings.js';

/** A server that hasn't begun to listen. */
export type Bindable = {listen(address: Address, patience: ListenPatience): Promise<void>};

/** Has the servers of a starting daemon listen, and waits for the addresses that can't be bound yet. */
export class AddressBinder {
	readonly #log: EventLog;
	readonly #abort = new AbortController();

	constructor(log: EventLog) {
		this.#log = log;
	}

	/** @throws when the address can't be bound within this time, or the binder was stopped */
	async bind(server: Bindable, address: Address, maxMs: number): Promise<void> {
		const {signal} = this.#abort;
		await server.listen(address, {
			maxMs,
			signal,
			onWaiting: (reason, waitedMs) => {
				this.#log.warn('address_unavailable', {address: `${address.ip}:${address.port}`, reason, waitedMs});
			},
		});
		signal.throwIfAborted();
	}

	/** Binds an address for a server that the daemon can do without, however long it takes. */
	async bindOptional(server: Bindable, address: Address): Promise<void> {
		try {
			await this.bind(server, address, Number.POSITIVE_INFINITY);
		} catch (error) {
			if (!this.#abort.signal.aborted) {
				this.#log.warn('address_abandoned', {reason: (error as Error).message});
			}
		}
	}

	/** Ends all waiting. */
	stop(): void {
		this.#abort.abort();
	}
}
