import {type CasePlan, type PlanLimits} from './caseplan.js';
import {type Sabotage} from './casesimulation.js';

/** Result of one case. */
export type CaseResult = {
	readonly violations: readonly string[];
	readonly faultCounts: Readonly<Record<string, number>>;
	readonly requests: number;
	/** Counts that `checkTotals` evaluates over the sum of all cases. */
	readonly totals?: Readonly<Record<string, number>>;
};

/** One guarantee of the requirements, with an independent check. */
export type ProofPoint = {
	readonly name: string;
	readonly limits: PlanLimits;
	readonly run: (plan: CasePlan, sabotage?: Sabotage) => CaseResult;
	/** Returns the violations that only the totals of all cases show. */
	readonly checkTotals?: (totals: Readonly<Record<string, number>>) => string[];
	/** A deliberate defect that this point's check must detect, and its description. */
	readonly sabotage: {readonly title: string; readonly apply: Sabotage};
};
