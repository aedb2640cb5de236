import {type BudgetLimit} from './budget.js';
import {type ShareState} from './share.js';

/** A budget as one daemon knows it. */
export type BudgetState = {
	readonly limit: BudgetLimit;
	/** The host that keeps the books; undefined while none is known. */
	readonly accountant: string | undefined;
	/** How long ago the accountant was heard; undefined if it wasn't. */
	readonly newsAgeMs: number | undefined;
	/** The part of what is wanted that may be spent, by the last news. */
	readonly fraction: number;
	/** What has been lent to this daemon; undefined if it has spent nothing. */
	readonly share: ShareState | undefined;
	/** The books, if this daemon keeps them. */
	readonly books: BudgetBooks | undefined;
};

/** The accountant's books of a budget: what all daemons want and spend a second, the tokens left, what may be spent until the next news, and the part of the fleet that reports. */
export type BudgetBooks = {readonly wantedPerS: number; readonly usedPerS: number; readonly level: number; readonly spendable: number; readonly scale: number};
