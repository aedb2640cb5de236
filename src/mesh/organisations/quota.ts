import {type BudgetLimit} from '../shares/budget.js';
import {type Organisation} from './organisation.js';

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

/** The organisations with the highest limits, which metrics tell apart; so many series at most. */
export function largestOrganisations(limits: ReadonlyMap<string, BudgetLimit>, count: number): ReadonlySet<string> {
	return new Set([...limits].toSorted(([, a], [, b]) => b.ratePerS - a.ratePerS).slice(0, count).map(([name]) => name));
}
