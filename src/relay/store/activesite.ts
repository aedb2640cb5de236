import {type EventLog} from '../../log/index.js';
import {Site} from '../../mesh/index.js';
import {type Adapter} from '../adapter.js';
import {limitDepth} from '../decode.js';
import {type StoredObject} from './store.js';

/** How long a daemon that starts waits for a peer's configuration, in ms: neighbors dial each other every 500 ms. */
const HOLD_MS = 700;
/** How many levels of a configuration peers are sent: several times as many as are read, and few enough to be encoded. */
const MAX_DEPTH = 64;

/** The configuration in force. Only one of a higher version replaces it. */
export class ActiveSite {
	readonly #adapter: Adapter;
	readonly #log: EventLog;
	readonly #onSite: (site: Site) => void;
	#site: Site | undefined;
	#value: unknown;
	#held: StoredObject | undefined;
	#holdTimer: NodeJS.Timeout | undefined;

	/** @param onSite called when a configuration has come into force */
	constructor(adapter: Adapter, log: EventLog, onSite: (site: Site) => void) {
		this.#adapter = adapter;
		this.#log = log;
		this.#onSite = onSite;
	}

	get site(): Site | undefined {
		return this.#site;
	}

	/** The configuration as the store sent it, undecoded, up to `MAX_DEPTH`. */
	get value(): unknown {
		return this.#value;
	}

	/**
	 * Holds back what a store lists that may have been restored from an older copy, because a peer may know a newer
	 * configuration. It comes into force when no peer has sent one for a while.
	 */
	hold(object: StoredObject): void {
		if (this.#site !== undefined) {
			this.offer(object);
			return;
		}

		if (object.name === this.#adapter.configuration.name) {
			this.#held = object;
			this.#holdTimer ??= setTimeout(() => {
				this.#releaseHeld();
			}, HOLD_MS);
		}
	}

	close(): void {
		clearTimeout(this.#holdTimer);
	}

	/** Brings a stored configuration into force if it is newer. */
	offer({name, revision, value}: StoredObject): void {
		if (name !== this.#adapter.configuration.name) {
			return;
		}

		try {
			// The operator's versions grow; the store's revisions go back when it is restored from an older copy.
			if (this.#site !== undefined && this.#adapter.decodeSiteVersion(value) <= this.#site.version) {
				return;
			}

			const site = new Site(revision, this.#adapter.decodeSite(value));
			this.#site = site;
			this.#value = limitDepth(value, MAX_DEPTH);
			this.#log.event('site_in_force', {revision, version: site.version, routes: site.spec.routes.length});
			this.#onSite(site);
		} catch (error) {
			this.#log.warn('site_rejected', {revision, reason: (error as Error).message});
		}
	}

	#releaseHeld(): void {
		this.#holdTimer = undefined;
		if (this.#site === undefined && this.#held !== undefined) {
			this.#log.warn('site_unconfirmed', {revision: this.#held.revision, waitedMs: HOLD_MS});
			this.offer(this.#held);
		}

		this.#held = undefined;
	}
}
