import {type CasePlan, type PlanLimits} from './caseplan.js';
import {type Sabotage} from './casesimulation.js';

/** What a case has shown. */
export type CaseResult = {
	readonly violations: readonly string[];
	readonly faultCounts: Readonly<Record<string, number>>;
	readonly requests: number;
	/** Counts that are judged over all cases together. */
	readonly totals?: Readonly<Record<string, number>>;
};

/** One point of the brief with its independent check. */
export type ProofPoint = {
	readonly name: string;
	readonly limits: PlanLimits;
	readonly run: (plan: CasePlan, sabotage?: Sabotage) => CaseResult;
	/** What is wrong with the totals of all cases. */
	readonly checkTotals?: (totals: Readonly<Record<string, number>>) => string[];
	/** The broken rule that this point's check must catch, and what it does. */
	readonly sabotage: {readonly title: string; readonly apply: Sabotage};
};
