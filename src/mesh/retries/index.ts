export {type RetryBudgetOptions, RetryBudget} from './retrybudget.js';
export {Attempts, type AttemptsParts, type HostRefusal} from './attempts.js';
