/** What all daemons together may spend of a budget: a rate, and a burst in addition. */
export type BudgetLimit = {readonly ratePerS: number; readonly burst: number};

/** How far the spending of a window may lie beyond the limit, because news of it takes time: by a share of the limit, and by a number. */
export type BudgetRoom = {readonly windowMs: number; readonly over: number; readonly slack: number};

/** The most that may be spent of a budget in a window beyond its limit. */
export function roomOf({ratePerS, burst}: BudgetLimit, {windowMs, over, slack}: BudgetRoom): number {
	return (over * ((ratePerS * windowMs / 1000) + burst)) + slack;
}

/** What one daemon was asked for of a budget since its last report, and what it spent of it; what is given back counts as negative in both. */
export type Usage = {
	readonly budget: string;
	readonly wanted: number;
	readonly used: number;
	/** What was asked for besides: requests that were shed, and those of an organisation without a limit. */
	readonly other: number;
};

/** A daemon's report to an accountant. */
export type UsageReport = {
	readonly host: string;
	/** Hash of the accountants that the daemon knows. */
	readonly view: number;
	readonly usages: readonly Usage[];
};

/** What an accountant tells the daemons of a budget. */
export type Allowance = {
	readonly budget: string;
	/** The share of what is wanted that may be spent; 1 for a calm budget. */
	readonly fraction: number;
	/** What all daemons together spend, a second. */
	readonly usedPerS: number;
	/** What all daemons together are asked for a second, requests that spend nothing included. */
	readonly askedPerS: number;
	/** What all daemons together may spend at once. */
	readonly spendable: number;
};

/** An accountant's message to a daemon. */
export type AllowanceNews = {
	/** The accountant's host. */
	readonly host: string;
	/** Whether the accountant has listened for long enough to know what is spent. */
	readonly isReady: boolean;
	/** Whether it replies to a report; otherwise it tells of a budget that has become limited. */
	readonly isReply: boolean;
	/** What all daemons together are asked for a second, over all budgets of the accountant. */
	readonly askedPerS: number;
	/** All limited budgets of the accountant, and besides, in a reply, those of the report. */
	readonly allowances: readonly Allowance[];
};
