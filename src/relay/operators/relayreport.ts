import {
	type BudgetState, type RevocationOptions, type Site, type BudgetSharing,
} from '../../mesh/index.js';
import {hashPrefixOf} from '../clients/keyhash.js';
import {type RefusalCount, type RefusalCounts} from '../clients/refusalcounts.js';

/** The organisations that a status names, those with the highest limits; the others are summed up. */
const MAX_NAMED = 8;

/** An organisation as one daemon knows it, without its keys: only the beginnings of their hashes. */
export type OrganisationReport = {
	readonly name: string;
	readonly keyHashes: readonly string[];
	readonly rank: number | undefined;
	/** Its part of a full service, in relation to the other organisations. */
	readonly weight: number;
	/** Its quota; undefined if it has none. */
	readonly budget: BudgetState | undefined;
	readonly refusals: readonly RefusalCount[];
};

/** What a daemon has in force. */
export type RelayStatus = {
	readonly host: string;
	/** Undefined while it has no configuration. */
	readonly siteVersion: number | undefined;
	/** How long ago the store confirmed the configuration; undefined if it never did. */
	readonly confirmationAgeMs: number | undefined;
	/** After what age requests with a key are refused; undefined if they aren't. */
	readonly strictAfterMs: number | undefined;
	readonly accountants: readonly string[];
	/** The number of organisations; undefined if the site has none. */
	readonly organisationCount: number | undefined;
	readonly organisations: readonly OrganisationReport[];
	/** The requests that were refused here of all other organisations. */
	readonly otherRefusals: number;
};

/** What a daemon says of a name or a key: no organisation if neither is known. */
export type OrganisationAnswer = Pick<RelayStatus, 'host' | 'siteVersion' | 'confirmationAgeMs' | 'strictAfterMs'> & {
	/** Whether a key of the organisation was asked for, and not its name. */
	readonly isByKey: boolean;
	readonly organisation: OrganisationReport | undefined;
};

/** What the reports are made of. */
export type RelayReportParts = {
	readonly host: string;
	readonly site: () => Site | undefined;
	readonly confirmationAgeMs: () => number;
	readonly revocation: RevocationOptions | undefined;
	readonly sharing: BudgetSharing;
	readonly refusalCounts: RefusalCounts;
	readonly nowMs: () => number;
};

/** Reports to operators what one daemon has in force, knows and refused. */
export class RelayReporter {
	readonly #parts: RelayReportParts;

	constructor(parts: RelayReportParts) {
		this.#parts = parts;
	}

	status(): RelayStatus {
		const {site, sharing, refusalCounts} = this.#parts;
		const organisations = [...site()?.organisations?.values() ?? []];
		const largest = new Set(organisations.toSorted((a, b) => (b.ratePerS ?? 0) - (a.ratePerS ?? 0)).slice(0, MAX_NAMED));
		const others = organisations.filter(organisation => !largest.has(organisation));
		return {
			...this.#basis(),
			accountants: sharing.accountants.hosts,
			organisationCount: site()?.organisations?.size,
			organisations: [...largest].map(({name}) => this.#reportOf(name)!),
			otherRefusals: others.flatMap(({name}) => refusalCounts.of(name)).reduce((sum, {count}) => sum + count, 0),
		};
	}

	/** Explains the organisation whose name, or one of whose keys, has this hash. */
	explain(hash: string): OrganisationAnswer {
		const organisations = [...this.#parts.site()?.organisations?.values() ?? []];
		const byName = organisations.find(({name}) => hashPrefixOf(name) === hash);
		const byKey = organisations.find(({keys}) => keys.some(key => hashPrefixOf(key) === hash));
		const found = byName ?? byKey;
		return {...this.#basis(), isByKey: byName === undefined, organisation: found === undefined ? undefined : this.#reportOf(found.name)};
	}

	#basis(): Pick<RelayStatus, 'host' | 'siteVersion' | 'confirmationAgeMs' | 'strictAfterMs'> {
		const {host, site, confirmationAgeMs, revocation} = this.#parts;
		const ageMs = confirmationAgeMs();
		return {
			host, siteVersion: site()?.version, confirmationAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, strictAfterMs: revocation?.isStrict === true ? revocation.maxAgeMs : undefined,
		};
	}

	#reportOf(name: string): OrganisationReport | undefined {
		const {site, sharing, refusalCounts, nowMs} = this.#parts;
		const table = site()?.organisations;
		const organisation = table?.get(name);
		return organisation === undefined
			? undefined
			: {
				name,
				keyHashes: organisation.keys.map(key => hashPrefixOf(key)),
				rank: organisation.rank,
				weight: table!.weightOf(name),
				budget: organisation.ratePerS === undefined ? undefined : sharing.stateOf(name, nowMs()),
				refusals: refusalCounts.of(name),
			};
	}
}
