import {type EventLog} from '../log/index.js';
import {Site} from '../mesh/index.js';
import {type Adapter} from './adapter.js';
import {type StoredObject} from './store.js';

/** The configuration in force. Only one of a higher version replaces it. */
export class ActiveSite {
	readonly #adapter: Adapter;
	readonly #log: EventLog;
	readonly #onSite: (site: Site) => void;
	#site: Site | undefined;
	#value: unknown;

	/** @param onSite called when a configuration has come into force */
	constructor(adapter: Adapter, log: EventLog, onSite: (site: Site) => void) {
		this.#adapter = adapter;
		this.#log = log;
		this.#onSite = onSite;
	}

	get site(): Site | undefined {
		return this.#site;
	}

	/** The configuration as the store sent it, undecoded. */
	get value(): unknown {
		return this.#value;
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
			this.#value = value;
			this.#log.event('site_in_force', {revision, version: site.version, routes: site.spec.routes.length});
			this.#onSite(site);
		} catch (error) {
			this.#log.warn('site_rejected', {revision, reason: (error as Error).message});
		}
	}
}
