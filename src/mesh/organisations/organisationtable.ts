import {type Organisation} from './organisation.js';

/** The organisations of one version of the configuration, by name and by API key. */
export class OrganisationTable {
	readonly #byName: ReadonlyMap<string, Organisation>;
	readonly #byKey = new Map<string, Organisation>();

	constructor(organisations: readonly Organisation[]) {
		this.#byName = new Map(organisations.map(organisation => [organisation.name, organisation]));
		for (const organisation of organisations) {
			for (const key of organisation.keys) {
				this.#byKey.set(key, organisation);
			}
		}
	}

	get size(): number {
		return this.#byName.size;
	}

	/** The organisation that holds the key; undefined if none does. */
	findByKey(key: string): Organisation | undefined {
		return this.#byKey.get(key);
	}

	get(name: string): Organisation | undefined {
		return this.#byName.get(name);
	}

	values(): Iterable<Organisation> {
		return this.#byName.values();
	}
}
