/** The most reasons and hosts that are told apart for an organisation; what comes later counts as one. */
const MAX_KINDS = 24;
const OTHER = {reason: 'other', host: 'none'};

/** How often requests of an organisation were refused for a reason by a host: `none` if this daemon refused them by itself. */
export type RefusalCount = {readonly reason: string; readonly host: string; count: number};

/** Counts the requests of each organisation that this daemon answered itself instead of their target, since its start. */
export class RefusalCounts {
	readonly #byOrganisation = new Map<string, Map<string, RefusalCount>>();

	record(organisation: string | undefined, reason: string, host: string): void {
		if (organisation === undefined) {
			return;
		}

		let counts = this.#byOrganisation.get(organisation);
		if (counts === undefined) {
			counts = new Map();
			this.#byOrganisation.set(organisation, counts);
		}

		const kind = counts.size < MAX_KINDS || counts.has(`${reason} ${host}`) ? {reason, host} : OTHER;
		const key = `${kind.reason} ${kind.host}`;
		const known = counts.get(key);
		if (known === undefined) {
			counts.set(key, {...kind, count: 1});
		} else {
			known.count++;
		}
	}

	/** The counts of an organisation, the highest first. */
	of(organisation: string): RefusalCount[] {
		return [...this.#byOrganisation.get(organisation)?.values() ?? []].toSorted((a, b) => b.count - a.count);
	}

	/** Forgets the organisations that aren't in the configuration any longer. */
	retain(names: ReadonlySet<string>): void {
		for (const name of this.#byOrganisation.keys()) {
			if (!names.has(name)) {
				this.#byOrganisation.delete(name);
			}
		}
	}
}
