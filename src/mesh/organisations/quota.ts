import {type BudgetLimit} from '../shares/budget.js';
import {type Organisation} from './organisation.js';
import {type OrganisationTable} from './organisationtable.js';

/** The limits of the organisations that have a quota, by name. */
export function quotaLimits(organisations: Iterable<Organisation>): ReadonlyMap<string, BudgetLimit> {
	const limits = new Map<string, BudgetLimit>();
	for (const {name, ratePerS, burst} of organisations) {
		if (ratePerS !== undefined) {
			limits.set(name, {ratePerS, burst});
		}
	}

	return limits;
}

/**
 * What all organisations are entitled to, by name: their limit, or for one without a limit the rate that it has as a weight.
 * Empty if none has a limit.
 */
export function entitlementsOf(organisations: OrganisationTable | undefined): ReadonlyMap<string, BudgetLimit> {
	if (organisations === undefined || quotaLimits(organisations.values()).size === 0) {
		return new Map();
	}

	return new Map([...organisations.values()].map(({name, burst}) => [name, {ratePerS: organisations.weightOf(name), burst}]));
}

/** The organisations with the highest limits, which metrics tell apart; so many series at most. */
export function largestOrganisations(limits: ReadonlyMap<string, BudgetLimit>, count: number): ReadonlySet<string> {
	return new Set([...limits].toSorted(([, a], [, b]) => b.ratePerS - a.ratePerS).slice(0, count).map(([name]) => name));
}
