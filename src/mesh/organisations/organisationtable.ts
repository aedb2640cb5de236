import {type Organisation} from './organisation.js';

/** The organisations of one version of the configuration, by name and by API key. */
export class OrganisationTable {
	readonly #byName: ReadonlyMap<string, Organisation>;
	readonly #byKey = new Map<string, Organisation>();
	/** 1 if no limit is stated. */
	readonly #meanRatePerS: number;

	constructor(organisations: readonly Organisation[]) {
		this.#byName = new Map(organisations.map(organisation => [organisation.name, organisation]));
		const ratesPerS = organisations.flatMap(({ratePerS}) => ratePerS ?? []);
		this.#meanRatePerS = ratesPerS.length === 0 ? 1 : ratesPerS.reduce((sum, rate) => sum + rate, 0) / ratesPerS.length;
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

	/** What the organisation is entitled to, in relation to the others: its limit, or the mean of the stated limits if none is stated for it. */
	weightOf(name: string): number {
		return this.#byName.get(name)?.ratePerS ?? this.#meanRatePerS;
	}

	values(): Iterable<Organisation> {
		return this.#byName.values();
	}
}
