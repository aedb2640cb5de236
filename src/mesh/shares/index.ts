export {Account, type BudgetChange} from './account.js';
export {Accountants, electAccountants} from './accountants.js';
export {
	type Allowance, type AllowanceNews, type BudgetLimit, type BudgetRoom, type Usage, type UsageReport, roomOf,
} from './budget.js';
export {type BudgetBooks, type BudgetState} from './budgetstate.js';
export {BudgetSharing, type BudgetSharingOptions, type DueReport} from './budgetsharing.js';
export {FairOrder} from './fairorder.js';
export {Ledger} from './ledger.js';
export {type Admission, Share, type ShareState} from './share.js';
export {UrgentFirst} from './urgentfirst.js';
